/** Registration record of a backend server. */

export enum ServerPhase {
    Ready = "ready",
    /** Completes its current requests and receives no new ones. */
    Draining = "draining",
}

export interface ServerRecord {
    id: string;
    /** Wall-clock start time in milliseconds. A new value for the same id means that the server lost its caches. */
    startedAt: number;
    service: string;
    /** IP address and port. */
    address: string;
    zone: string;
    /** Maximum number of concurrent requests. */
    slots: number;
    phase: ServerPhase;
    /** Number that the process increments with each entry that it writes, if the entry has one. */
    sequence?: number | undefined;
    /** Time in milliseconds for which the server expected to stay cold when it wrote the entry. */
    coldRemainingMs: number;
}

/** Whether two records are of the same start of the same server. */
export function isSameProcess(a: ServerRecord, b: ServerRecord): boolean {
    return a.startedAt === b.startedAt && a.address === b.address && a.service === b.service;
}
