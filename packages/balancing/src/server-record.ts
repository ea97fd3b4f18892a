/** A backend server as it registered itself. */

export enum ServerPhase {
    Ready = "ready",
    /** Finishes what it runs and gets no new requests. */
    Draining = "draining",
}

export interface ServerRecord {
    id: string;
    /** Wall-clock time of the start in milliseconds. A new value with the same id is a server that knows nothing of before. */
    startedAt: number;
    service: string;
    /** IP address and port. */
    address: string;
    zone: string;
    /** Requests that it runs at once. */
    slots: number;
    phase: ServerPhase;
    /** Time in milliseconds for which the server says it stays cold. */
    coldRemainingMs: number;
}
