/** Load of a backend server: exact for this instance's requests, estimated from the server's reports for all others. */

/** Load that a server reported with a response. */
export interface LoadReport {
    running: number;
    waiting: number;
    slots: number;
    /**
     * Time that work takes on the server's machine at this moment, relative to the usual time; undefined if the server does
     * not report it.
     */
    workTimeFactor?: number | undefined;
}

export interface ServerLoad {
    /** Requests of this instance that are in flight on the server. */
    inFlight(): number;
    /** Estimated number of requests in flight on the server, from all instances. */
    expected(now: number): number;
    /** Requests queued at this instance for the server. */
    waiting(): number;
    addWaiting(): void;
    removeWaiting(): void;
    start(): void;
    finish(): void;
    report(load: LoadReport, now: number): void;
}

/**
 * Time constant in milliseconds with which the estimate moves from the last report to the mean. It corresponds to the
 * work time of a request, after which the reported requests have completed and others have arrived.
 */
const reportDecayMs = 300;
/** Time constant in milliseconds with which the mean decays without reports, as for a server that is no longer used. */
const meanDecayMs = 4000;
/** Weight of one report in the moving average. */
const meanWeight = 0.15;

export function createServerLoad(): ServerLoad {
    let ownRequests = 0;
    let waiting = 0;
    let reported = 0;
    let mean = 0;
    let reportedAt = 0;

    const expectedOthers = (now: number) => {
        const age = now - reportedAt;
        return (mean + (reported - mean) * Math.exp(-age / reportDecayMs)) * Math.exp(-age / meanDecayMs);
    };

    return {
        inFlight: () => ownRequests,
        expected: now => ownRequests + expectedOthers(now),
        waiting: () => waiting,
        addWaiting: () => {
            waiting += 1;
        },
        removeWaiting: () => {
            waiting -= 1;
        },
        start: () => {
            ownRequests += 1;
        },
        finish: () => {
            ownRequests = Math.max(0, ownRequests - 1);
        },
        report: (load, now) => {
            reported = Math.max(0, load.running + load.waiting - ownRequests);
            mean += (reported - mean) * meanWeight;
            reportedAt = now;
        },
    };
}
