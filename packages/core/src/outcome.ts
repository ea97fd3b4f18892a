/** Response headers and the outcome of a request as reported to callers. */

/** Value of the `waxwingdale-outcome` response header. */
export enum Outcome {
    /** The request did not reach a backend server, or the server reported that it did not start it. */
    NotRun = "not-run",
    /** A backend server ran the request and responded. */
    Ran = "ran",
    /** The request may or may not have run. */
    Unknown = "unknown",
}

/** Value of the `waxwingdale-reason` header of responses that the system itself generates. */
export enum ReasonCode {
    BadRequest = "bad-request",
    NoRoute = "no-route",
    BodyTooLarge = "body-too-large",
    MissingIdempotencyKey = "missing-idempotency-key",
    KeyReused = "key-reused",
    Overloaded = "overloaded",
    DeadlineTooShort = "deadline-too-short",
    DeadlineExceeded = "deadline-exceeded",
    NoBackend = "no-backend",
    BackendRefused = "backend-refused",
    BackendUnreachable = "backend-unreachable",
    BackendConnectionLost = "backend-connection-lost",
    ClaimsUnavailable = "claims-unavailable",
    EntryLost = "entry-lost",
    InProgress = "in-progress",
    Replayed = "replayed",
    Quarantined = "quarantined",
    ShuttingDown = "shutting-down",
    NotReady = "not-ready",
    RegionUnreachable = "region-unreachable",
    ShiftCapReached = "shift-cap-reached",
    LinkFull = "link-full",
    CallerAborted = "caller-aborted",
    InternalError = "internal-error",
}

export const outcomeHeader = "waxwingdale-outcome";
export const reasonHeader = "waxwingdale-reason";
export const requestIdHeader = "waxwingdale-request-id";
/** Time in milliseconds that the caller will still wait for the response. */
export const deadlineHeader = "waxwingdale-deadline-ms";
export const idempotencyKeyHeader = "idempotency-key";
/** Sent by a backend server with status 503 if it did not start the request. */
export const notStartedHeader = "backend-not-started";
/** Sent by a backend server with every response while it is draining. */
export const drainingHeader = "backend-draining";
/** Number of busy slots, sent by a backend server with its responses. */
export const backendLoadHeader = "backend-load";
