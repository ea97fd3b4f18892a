/** Rate limit that a backend server names in its responses: what is known of it, and what this instance may send. */
import type { Random } from "@waxwingdale/core";
import { getHeldShare, getUsableRate } from "./rate-limit-share.js";
import { ReportSource } from "./report-source.js";
import { createTokenBucket } from "./token-bucket.js";

/** What a response says about the limit: a rate, or a value that cannot be read. Absent if it names no limit. */
export type RateLimitReport = { requestsPerSecond: number } | { unreadable: string };

/** What an instance knows of a server's limit, as it is shared with other instances. */
export interface RateLimitObservation {
    /** Undefined if the server has named a limit before but does so no more. */
    requestsPerSecond: number | undefined;
    /** Time in milliseconds since the server said so. */
    ageMs: number;
}

export interface ServerRateLimit {
    /**
     * Applies a response of the server; `report` is undefined if it names no limit.
     * @param writtenAt Clock time at which the request was written.
     */
    report(report: RateLimitReport | undefined, writtenAt: number, now: number): void;
    /** Applies what another instance knows. */
    merge(observation: RateLimitObservation, now: number): void;
    /** Returns what other instances should know; undefined if the server has not named a limit lately. */
    observation(now: number): RateLimitObservation | undefined;
    /** Maximum number of requests per second from all instances together; undefined without a limit. */
    requestsPerSecond(): number | undefined;
    /** Whether this instance may send one more request now. */
    hasCapacity(now: number): boolean;
    /**
     * Time in milliseconds until this instance may send a request behind `ahead` others; Infinity if it has no share of
     * the limit.
     */
    msUntilCapacity(now: number, ahead: number): number;
    countRequest(now: number): void;
}

export interface ServerRateLimitOptions {
    serverId: string;
    /** Id of this instance. */
    self: string;
    random: Random;
    now: number;
    /** Lists of the instances that share the limit, from `CandidateHistory`. Returns a new array when they change. */
    recentCandidates: () => readonly (readonly string[])[];
    /** Number of all instances that serve traffic. */
    countInstances: () => number;
    onChange: (requestsPerSecond: number | undefined, source: ReportSource) => void;
    /** Called for the first value that cannot be read. */
    onUnreadable: (value: string) => void;
}

/** Requests that may follow each other at once, in seconds of the share; at least one. */
const burstSeconds = 0.5;
/**
 * Time in milliseconds after which a limit that nobody has heard of again is probed by all instances. The senders may
 * have no requests for the server, so that they would never learn that it has ended.
 */
const unconfirmedMs = 10_000;
/** Fraction of the limit that all instances together use for probes. */
const probeFraction = 0.25;
/** Minimum rate of probes of all instances together per second, for a server that takes nothing at present. */
const minProbesPerSecond = 0.1;
/** How long other instances are told that a limit has ended. */
const endedShareMs = 60_000;
/** Clock time that a peer's observation has to be ahead to end a limit, since its age leaves out the transit. */
const transitMarginMs = 250;

export function createServerRateLimit(options: ServerRateLimitOptions): ServerRateLimit {
    const { serverId, self } = options;
    let limit: number | undefined;
    /** Clock time up to which the limit is known. */
    let knownAt = -Infinity;
    /** Clock time at which the last limit ended. */
    let endedAt = -Infinity;
    let isUnreadableReported = false;
    let candidates: readonly (readonly string[])[] | undefined;
    let share = 0;
    const bucket = createTokenBucket(options.now);
    // The random phase spreads the probes of instances that begin to probe at the same time.
    const probes = createTokenBucket(options.now, options.random());

    const updateShare = (requestsPerSecond: number) => {
        const recent = options.recentCandidates();
        if (recent !== candidates) {
            candidates = recent;
            share = getHeldShare(serverId, requestsPerSecond, self, recent);
        }
    };

    const refill = (requestsPerSecond: number, now: number) => {
        updateShare(requestsPerSecond);
        bucket.update(now, share, share === 0 ? 0 : Math.max(1, share * burstSeconds));
        const isUnconfirmed = now - knownAt > unconfirmedMs;
        const probeRate = Math.max(minProbesPerSecond, probeFraction * getUsableRate(requestsPerSecond));
        probes.update(now, isUnconfirmed ? probeRate / Math.max(1, options.countInstances()) : 0, 1);
    };

    const apply = (next: number | undefined, at: number, now: number, source: ReportSource) => {
        // Responses may overtake each other, so an older one must not replace what a newer one said.
        if (at < knownAt) {
            return;
        }
        knownAt = at;
        if (next === limit) {
            return;
        }
        if (limit === undefined) {
            bucket.clear();
        }
        if (next === undefined) {
            endedAt = at;
        }
        limit = next;
        candidates = undefined;
        if (limit !== undefined) {
            refill(limit, now);
        }
        options.onChange(next, source);
    };

    return {
        report: (report, writtenAt, now) => {
            if (report === undefined) {
                // The response may have been on its way when the limit was named: it tells of the time of its request.
                apply(undefined, writtenAt, now, ReportSource.Response);
            } else if ("requestsPerSecond" in report) {
                apply(report.requestsPerSecond, now, now, ReportSource.Response);
            } else if (!isUnreadableReported) {
                isUnreadableReported = true;
                options.onUnreadable(report.unreadable);
            }
        },
        merge: ({ requestsPerSecond, ageMs }, now) => {
            const marginMs = requestsPerSecond === undefined ? transitMarginMs : 0;
            apply(requestsPerSecond, now - ageMs - marginMs, now, ReportSource.Peer);
        },
        observation: now => {
            const isShared = limit !== undefined || now - endedAt <= endedShareMs;
            return isShared ? { requestsPerSecond: limit, ageMs: now - knownAt } : undefined;
        },
        requestsPerSecond: () => limit,
        hasCapacity: now => {
            if (limit === undefined) {
                return true;
            }
            refill(limit, now);
            return bucket.tokens() >= 1 || probes.tokens() >= 1;
        },
        msUntilCapacity: (now, ahead) => {
            if (limit === undefined) {
                return 0;
            }
            refill(limit, now);
            const missing = Math.max(0, 1 + ahead - bucket.tokens());
            return missing === 0 ? 0 : (missing / share) * 1000;
        },
        countRequest: now => {
            if (limit === undefined) {
                return;
            }
            refill(limit, now);
            (bucket.tokens() >= 1 ? bucket : probes).take();
        },
    };
}
