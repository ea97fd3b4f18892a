/** A backend server as an entry instance of its region sees it. */
export interface BackendServer {
    id: string;
    service: string;
    /** IP address and port. */
    address: string;
    region: string;
    zone: string;
    /** Site of the manifest, when the instance list names it. */
    site?: string;
    /** Requests that it runs at once. */
    slots: number;
    /** A draining server gets no new requests. */
    draining: boolean;
}
