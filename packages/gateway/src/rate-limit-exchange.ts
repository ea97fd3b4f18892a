/**
 * Shares the rate limits that servers name between instances, as a digest in each gossip exchange. An instance thereby
 * keeps a limit before a server has told it, and hears of its end although it may not send to the server.
 */
import type { BackendState, BackendTable } from "@waxwingdale/balancing";
import type { Clock, Logger } from "@waxwingdale/core";
import * as v from "valibot";

export interface RateLimitExchange {
    /** Returns what this instance knows of the limits of servers. */
    getDigest(): unknown;
    /** Applies the digest of a peer. A malformed one is ignored. */
    handlePeerDigest(digest: unknown): void;
}

export interface RateLimitExchangeOptions {
    table: BackendTable;
    clock: Clock;
    logger: Logger;
}

/** Maximum number of servers in a digest; the ones heard of last go first. */
const maxEntries = 64;

const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
const entrySchema = v.object({
    server: v.string(),
    /** Start time of the server: after a restart it has another limit, or none. */
    startedAt: v.number(),
    /** Absent if the limit has ended. */
    requestsPerSecond: v.optional(nonNegativeNumber),
    ageMs: nonNegativeNumber,
});
const digestSchema = v.pipe(v.array(entrySchema), v.maxLength(maxEntries));

type Entry = v.InferOutput<typeof entrySchema>;

export function createRateLimitExchange({
    table,
    clock,
    logger,
}: RateLimitExchangeOptions): RateLimitExchange {
    const createEntry = ({ record, rateLimit }: BackendState, now: number): Entry | undefined => {
        const observation = rateLimit.observation(now);
        return observation && { server: record.id, startedAt: record.startedAt, ...observation };
    };

    return {
        getDigest: () => {
            const now = clock.now();
            return table
                .all()
                .map(server => createEntry(server, now))
                .filter(entry => entry !== undefined)
                .sort((a, b) => a.ageMs - b.ageMs)
                .slice(0, maxEntries);
        },
        handlePeerDigest: digest => {
            const parsed = v.safeParse(digestSchema, digest);
            if (!parsed.success) {
                logger.warn("rate-limit-digest-rejected", { error: parsed.issues[0].message });
                return;
            }
            const now = clock.now();
            for (const { server: id, startedAt, requestsPerSecond, ageMs } of parsed.output) {
                const server = table.find(id);
                if (server?.record.startedAt === startedAt) {
                    server.rateLimit.merge({ requestsPerSecond, ageMs }, now);
                }
            }
        },
    };
}
