/** Behaviour and faults of the stand-in of a backend server. */

export interface BackendBehaviour {
    /** Requests that run at once; more are refused as not started. */
    slots: number;
    maxConnections: number;
    /** Extra time in milliseconds of the first request on a connection. */
    connectionCostMs: number;
    /** Mean service time in milliseconds. */
    workMs: number;
    /** True for exponential service times, false for constant ones. */
    randomWork: boolean;
    /** Time in milliseconds after a start for which caches are cold. */
    warmUpMs: number;
    /** Factor on the service time at the start of the warm-up; it falls to 1 in a straight line. */
    coldFactor: number;
    /** Time in milliseconds for which a crashed server is down. */
    restartMs: number;
}

export const defaultBehaviour: BackendBehaviour = {
    slots: 3,
    maxConnections: 330,
    connectionCostMs: 1,
    workMs: 10,
    randomWork: true,
    warmUpMs: 0,
    coldFactor: 3,
    restartMs: 1000,
};

/** Faults that a test or the demo switches on while the server runs. */
export interface BackendFaults {
    /** Factor on the service time. */
    slowFactor: number;
    /** Load reports show the state of this many milliseconds ago. */
    reportLagMs: number;
    /** Busy slots that every load report claims, whatever the truth is. */
    reportedLoad: number | undefined;
    /** Health answers say that all is well while the server drains. */
    healthHidesDrain: boolean;
    /** Answers do not carry the drain header. */
    answersHideDrain: boolean;
    /** Every request is refused as not started. */
    refuseAll: boolean;
    /** Share of answers that are cut off in the middle of the body. */
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
