/**
 * Load of a backend server: exact for this instance's requests, estimated from the server's reports for all others. For
 * servers that state their work time, reports that other instances received are used as well.
 */
import { createOwnLoadHistory } from "./own-load-history.js";

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

/** A report and the time in milliseconds since the server stated it. */
export interface AgedLoadReport {
    load: LoadReport;
    ageMs: number;
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
    start(now: number): void;
    finish(now: number): void;
    report(load: LoadReport, now: number): void;
    /** Adds the bytes of a request body that the server holds for this instance; negative when the request has ended. */
    addBodyBytes(bytes: number): void;
    bodyBytes(): number;
    /** Applies a report that another instance received. Returns false if a newer one is known. */
    merge(report: AgedLoadReport, now: number): boolean;
    /** Whether the server states its work time. */
    statesWorkTime(): boolean;
    /** Estimated time that work takes now, relative to the usual time; 1 if the server does not state it. */
    workTimeFactor(now: number): number;
    /** Returns the newest report, and whether this instance received it itself; undefined before the first one. */
    latest(now: number): (AgedLoadReport & { isOwn: boolean }) | undefined;
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
/** Time constant in milliseconds with which a stated work time returns to the server's usual one. */
const workTimeDecayMs = 600;
/** Weight of one report in the moving average of the work time. */
const workTimeWeight = 0.05;
/** Bounds of a stated work time, as costs are multiplied and measured times divided by it. */
const minWorkTimeFactor = 0.1;
const maxWorkTimeFactor = 20;

export function createServerLoad(): ServerLoad {
    const history = createOwnLoadHistory();
    let ownRequests = 0;
    let waiting = 0;
    let bodyBytes = 0;
    let reported = 0;
    let mean = 0;
    let reportedAt = 0;
    let latest: LoadReport | undefined;
    let isOwn = false;
    let factor: number | undefined;
    let usualFactor = 1;

    const workTimeFactor = (now: number) =>
        factor === undefined
            ? 1
            : usualFactor + (factor - usualFactor) * Math.exp((reportedAt - now) / workTimeDecayMs);

    const expectedOthers = (now: number) => {
        const age = now - reportedAt;
        // Where work takes longer, the reported requests stay longer.
        const decayMs = reportDecayMs * (factor ?? 1);
        return (mean + (reported - mean) * Math.exp(-age / decayMs)) * Math.exp(-age / meanDecayMs);
    };

    const setOwnRequests = (count: number, now: number) => {
        ownRequests = count;
        history.record(count, now);
    };

    const apply = (load: LoadReport, others: number, at: number) => {
        reported = Math.max(0, others);
        mean += (reported - mean) * meanWeight;
        reportedAt = at;
        latest = load;
        factor = clampFactor(load.workTimeFactor);
        usualFactor += ((factor ?? 1) - usualFactor) * workTimeWeight;
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
        addBodyBytes: bytes => {
            bodyBytes += bytes;
        },
        bodyBytes: () => bodyBytes,
        start: now => setOwnRequests(ownRequests + 1, now),
        finish: now => setOwnRequests(Math.max(0, ownRequests - 1), now),
        report: (load, now) => {
            apply(load, load.running + load.waiting - ownRequests, now);
            isOwn = true;
        },
        merge: ({ load, ageMs }, now) => {
            const at = now - ageMs;
            const isNewer = latest === undefined || at > reportedAt;
            if (isNewer) {
                apply(load, load.running + load.waiting - history.countAt(at), at);
                isOwn = false;
            }
            return isNewer;
        },
        statesWorkTime: () => factor !== undefined,
        workTimeFactor,
        latest: now => latest && { load: latest, ageMs: now - reportedAt, isOwn },
    };
}

function clampFactor(factor: number | undefined): number | undefined {
    return factor === undefined
        ? undefined
        : Math.min(maxWorkTimeFactor, Math.max(minWorkTimeFactor, factor));
}
