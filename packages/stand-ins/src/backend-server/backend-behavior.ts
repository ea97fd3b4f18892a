/** Configurable behavior and faults of the stand-in backend server. */

export interface BackendBehavior {
    /** Maximum number of concurrent requests; further requests are rejected as not started. */
    slots: number;
    maxConnections: number;
    /** Extra service time of the first request on a connection, in milliseconds. */
    connectionCostMs: number;
    /** Mean service time, in milliseconds. */
    workMs: number;
    /** Whether service times are exponentially distributed instead of constant. */
    randomWork: boolean;
    /** Time after a start during which caches are cold, in milliseconds. */
    warmUpMs: number;
    /** Service time multiplier at the start of the warm-up; it decreases linearly to 1. */
    coldFactor: number;
    /** Downtime after a crash, in milliseconds. */
    restartMs: number;
}

export const defaultBehavior: BackendBehavior = {
    slots: 3,
    maxConnections: 330,
    connectionCostMs: 1,
    workMs: 10,
    randomWork: true,
    warmUpMs: 0,
    coldFactor: 3,
    restartMs: 1000,
};

/** Faults that can be injected while the server is running. */
export interface BackendFaults {
    /** Service time multiplier. */
    slowFactor: number;
    /** Delay of load reports behind the actual load, in milliseconds. */
    reportLagMs: number;
    /** Number of busy slots to report instead of the actual number. */
    reportedLoad: number | undefined;
    /** Omits the drain header from health check responses. */
    healthHidesDrain: boolean;
    /** Omits the drain header from responses to requests. */
    answersHideDrain: boolean;
    /** Rejects every request as not started. */
    refuseAll: boolean;
    /** Fraction of download responses that are truncated in the middle of the body. */
    cutShare: number;
}

export const noFaults: BackendFaults = {
    slowFactor: 1,
    reportLagMs: 0,
    reportedLoad: undefined,
    healthHidesDrain: false,
    answersHideDrain: false,
    refuseAll: false,
    cutShare: 0,
};
