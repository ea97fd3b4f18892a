/** A backend server, as seen by an entry instance in the same region. */
export interface BackendServer {
    id: string;
    service: string;
    /** IP address and port. */
    address: string;
    region: string;
    zone: string;
    /** Site in the manifest, if the instance list contains it. */
    site?: string;
    /** Maximum number of concurrent requests. */
    slots: number;
    /** A draining server receives no new requests. */
    draining: boolean;
}
