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
    /** Forgets the reports, for example at a restart of the server. */
    reset(): void;
}

/**
 * Time constant in milliseconds by which a report of other instances' requests loses weight. It follows from the work
 * of a request, after which the reported requests have ended.
 */
const reportDecayMs = 400;

export function createServerLoad(): ServerLoad {
    let own = 0;
    let others = 0;
    let reportedAt = 0;
    let waiting = 0;

    const expectedOthers = (now: number) =>
        others === 0 ? 0 : others * Math.exp(-(now - reportedAt) / reportDecayMs);

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
        report: (reported, now) => {
            others = Math.max(0, reported.running + reported.waiting - own);
            reportedAt = now;
        },
        reset: () => {
            others = 0;
        },
    };
}
