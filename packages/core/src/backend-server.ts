/** A backend server as an entry instance of its region sees it. */
export interface BackendServer {
    id: string;
    service: string;
    /** IP address and port. */
    address: string;
    region: string;
    zone: string;
    /** Requests that it runs at once. */
    slots: number;
    /** A draining server gets no new requests. */
    draining: boolean;
}
