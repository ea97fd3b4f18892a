/** How many requests a backend server has: those of this instance exactly, those of others from its own reports. */

/** Load that a server reported with an answer. */
export interface LoadReport {
    running: number;
    waiting: number;
    slots: number;
}

export interface ServerLoad {
    /** Requests of this instance that the server has. */
    inFlight(): number;
    /** Requests that the server is expected to have, of all instances. */
    expected(now: number): number;
    /** Requests of this instance that wait for the server. */
    waiting(): number;
    addWaiting(): void;
    removeWaiting(): void;
    start(): void;
    finish(): void;
    report(load: LoadReport, now: number): void;
}

/**
 * Time constant in milliseconds by which a report of other instances' requests gives way to their mean. It follows from the
 * work of a request, after which the reported requests have ended and others have come.
 */
const reportDecayMs = 300;
/** Time constant in milliseconds by which the mean falls without reports, when nobody sends there any more. */
const meanDecayMs = 4000;
/** Weight of one report in the mean. */
const meanWeight = 0.15;

export function createServerLoad(): ServerLoad {
    let own = 0;
    let waiting = 0;
    let reported = 0;
    let mean = 0;
    let reportedAt = 0;

    const expectedOthers = (now: number) => {
        const age = now - reportedAt;
        return (mean + (reported - mean) * Math.exp(-age / reportDecayMs)) * Math.exp(-age / meanDecayMs);
    };

    return {
        inFlight: () => own,
        expected: now => own + expectedOthers(now),
        waiting: () => waiting,
        addWaiting: () => {
            waiting += 1;
        },
        removeWaiting: () => {
            waiting -= 1;
        },
        start: () => {
            own += 1;
        },
        finish: () => {
            own = Math.max(0, own - 1);
        },
        report: (load, now) => {
            reported = Math.max(0, load.running + load.waiting - own);
            mean += (reported - mean) * meanWeight;
            reportedAt = now;
        },
    };
}
