/** What became of a request, as it is told to callers. */

/** Value of the `waxwingdale-outcome` response header. */
export enum Outcome {
    /** Nothing of the request reached a backend server, or the server said that it did not start it. */
    NotRun = "not-run",
    /** A backend server ran the request and answered. */
    Ran = "ran",
    /** The request may or may not have run. */
    Unknown = "unknown",
}

/** Value of the `waxwingdale-reason` response header on answers that the system itself makes. */
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
/** Time in milliseconds that the caller still waits for its answer. */
export const deadlineHeader = "waxwingdale-deadline-ms";
export const idempotencyKeyHeader = "idempotency-key";
/** Sent by a backend server with status 503 when it did not start a request. */
export const notStartedHeader = "backend-not-started";
/** Sent by a backend server on any answer while it drains. */
export const drainingHeader = "backend-draining";
/** Number of busy slots that a backend server reports on its answers. */
export const backendLoadHeader = "backend-load";
