/** Responses to requests that are rejected before a service is selected for them. */
import { QuotaVerdict } from "@waxwingdale/balancing";
import type { QuotaDecision, Route, RouteIndex } from "@waxwingdale/balancing";
import { BodyRejection } from "./request-body.js";
import { RequestOutcome } from "./request-outcome.js";
import type { WireProtocol } from "./wire-protocol.js";
import { AccessDenial } from "./workspace-access.js";

/** Retry delay sent to callers while the instance has no configuration. */
const noConfigRetryMs = 300;
/** Retry delay sent to callers while there is no memory for their bodies. */
const noMemoryRetryMs = 500;

/** A response to a request that is rejected before a service is selected for it. */
export interface EarlyRejection {
    status: number;
    reason: string;
    headers?: Record<string, string>;
    /** @default RequestOutcome.Refused */
    outcome?: RequestOutcome;
    route?: Route;
    /** Name of the caller's workspace. */
    workspace?: string | undefined;
    /** Version of the configuration. */
    version?: number;
    /** Set if the request was rejected for its key. */
    denial?: AccessDenial;
}

export function describeMissingRoute(index: RouteIndex | undefined, protocol: WireProtocol): EarlyRejection {
    return index === undefined
        ? {
              status: 503,
              reason: "no configuration yet",
              headers: protocol.formatRetryAfter(noConfigRetryMs),
          }
        : { status: 404, reason: "no route", outcome: RequestOutcome.NoRoute, version: index.version };
}

/**
 * A key that is unknown, or that this instance may not trust. In the second case another instance may serve the caller
 * at once.
 */
export function describeDenial(denial: AccessDenial, protocol: WireProtocol): EarlyRejection {
    return denial === AccessDenial.UnknownKey
        ? {
              status: 401,
              reason: "the key is unknown",
              headers: { "WWW-Authenticate": "Bearer" },
              outcome: RequestOutcome.Unauthorized,
          }
        : {
              status: 503,
              reason: "the configuration may be out of date",
              headers: { Connection: "close", ...protocol.formatRetryAfter(0) },
          };
}

export function describeQuota(
    { verdict, retryAfterMs }: QuotaDecision,
    protocol: WireProtocol,
): EarlyRejection {
    const headers = protocol.formatRetryAfter(retryAfterMs);
    return verdict === QuotaVerdict.Exceeded
        ? {
              status: 429,
              reason: "the quota of the workspace is used up",
              headers,
              outcome: RequestOutcome.QuotaExceeded,
          }
        : { status: 503, reason: "the quota of the workspace is not known", headers };
}

/** The caller can return to another instance at once. */
export function describeShutdown(protocol: WireProtocol): EarlyRejection {
    return {
        status: 503,
        reason: "the instance is shutting down",
        headers: { Connection: "close", ...protocol.formatRetryAfter(0) },
    };
}

export function describeRejection(rejection: BodyRejection, protocol: WireProtocol): EarlyRejection {
    const headers = { Connection: "close" };
    return rejection === BodyRejection.TooLarge
        ? { status: 413, reason: "the body is too large", headers }
        : {
              status: 503,
              reason: "no memory for the body",
              headers: { ...headers, ...protocol.formatRetryAfter(noMemoryRetryMs) },
          };
}
