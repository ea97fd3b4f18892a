/**
 * Decides whether requests with keys may be served: only while this instance would know if a key had been withdrawn
 * longer ago than the declared bound.
 */
import type { ElapsedClock, Logger } from "@waxwingdale/core";

export interface ViewFreshnessOptions {
    /** Clock of the view, which counts suspensions. */
    clock: ElapsedClock;
    logger: Logger;
    /** Time from the withdrawal of a key until no instance serves it, in seconds; undefined if there is no bound. */
    revokeSeconds: () => number | undefined;
    /** Whether the configuration has workspaces. */
    hasWorkspaces: () => boolean;
    /** Clock time up to which the view of the configuration is complete; undefined before it has been read. */
    asOf: () => number | undefined;
}

export interface ViewFreshness {
    /** Called for each request with a key. */
    mayServeKeys: () => boolean;
    /** Whether the view is older than in ordinary operation, so that peers should confirm it. */
    needsConfirmation(): boolean;
    /** Detects suspensions and changes without requests; called at short intervals. */
    update(): void;
}

/** Why requests with keys are not served. */
enum Staleness {
    NotRead = "not-read",
    /** The process was suspended, and no response to a later call has come yet. */
    Suspended = "suspended",
    TooOld = "too-old",
}

/** Part of the bound that is left for the time from the decision until the request arrives at a server. */
const deliveryFraction = 0.1;

/**
 * Part of the time for which a view is fresh after which peers are asked. In ordinary operation, a view gets half of
 * `revokeSeconds` old.
 */
const confirmFraction = 0.65;

export function createViewFreshness(options: ViewFreshnessOptions): ViewFreshness {
    const { clock, logger } = options;
    /** Clock time since which requests with keys are not served. */
    let lostAt: number | undefined;

    /** @param fraction Part of the time for which a view is fresh. */
    const findStaleness = (now: number, fraction = 1): Staleness | undefined => {
        const revokeSeconds = options.revokeSeconds();
        if (revokeSeconds === undefined || !options.hasWorkspaces()) {
            return undefined;
        }
        const asOf = options.asOf();
        if (asOf === undefined) {
            return Staleness.NotRead;
        }
        if (asOf < clock.resumedAt()) {
            return Staleness.Suspended;
        }
        const maxAgeMs = revokeSeconds * 1000 * (1 - deliveryFraction);
        return now - asOf < maxAgeMs * fraction ? undefined : Staleness.TooOld;
    };

    const recordChange = (now: number, reason: Staleness | undefined) => {
        if (reason !== undefined && lostAt === undefined) {
            lostAt = now;
            const asOf = options.asOf();
            logger.warn("keys-not-served", { reason, ageMs: asOf && Math.round(now - asOf) });
        } else if (reason === undefined && lostAt !== undefined) {
            logger.info("keys-served", { awayMs: Math.round(now - lostAt) });
            lostAt = undefined;
        }
    };

    const mayServeKeys = (): boolean => {
        const now = clock.now();
        const reason = findStaleness(now);
        recordChange(now, reason);
        return reason === undefined;
    };

    return {
        mayServeKeys,
        needsConfirmation: () => findStaleness(clock.now(), confirmFraction) !== undefined,
        update: () => void mayServeKeys(),
    };
}
