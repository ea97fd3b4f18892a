/**
 * Shares what servers say about themselves, as a digest in each gossip exchange: their rate limits, that they shut down, and
 * that they are cold while the store may lack it. An instance thereby knows it before a server has told it, and hears of the
 * end of a limit although it may not send to the server.
 */
import { ReportSource, extendColdTime } from "@waxwingdale/balancing";
import type { BackendState, BackendTable } from "@waxwingdale/balancing";
import type { Clock, Logger } from "@waxwingdale/core";
import * as v from "valibot";
import { createRotation } from "./rotation.js";

export interface ServerReportExchange {
    /** Returns what this instance knows of servers that are limited, leaving or cold. */
    getDigest(): unknown;
    /** Applies the digest of a peer. A malformed one is ignored. */
    handlePeerDigest(digest: unknown): void;
}

export interface ServerReportExchangeOptions {
    table: BackendTable;
    clock: Clock;
    logger: Logger;
    /** Whether the store may lack entries that servers have written. */
    mayStoreLackEntries: () => boolean;
}

/** Servers in a digest, which bounds its bytes. Where there are more, further digests go on with the next ones. */
const maxEntries = 8;

const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
const entrySchema = v.object({
    server: v.string(),
    /** Start time of the server: after a restart it has another limit, or none. */
    startedAt: v.number(),
    /** Absent if the server has never named a limit. */
    rateLimit: v.optional(
        v.object({
            /** Absent if the limit has ended. */
            requestsPerSecond: v.optional(nonNegativeNumber),
            ageMs: nonNegativeNumber,
        }),
    ),
    isLeaving: v.optional(v.boolean(), false),
    /** What the server has stated about its cold time; absent where the store says it as well. */
    cold: v.optional(
        v.object({
            sequence: v.optional(nonNegativeNumber),
            remainingMs: nonNegativeNumber,
            ageMs: nonNegativeNumber,
        }),
    ),
});
const digestSchema = v.pipe(v.array(entrySchema), v.maxLength(maxEntries));

type Entry = v.InferOutput<typeof entrySchema>;

export function createServerReportExchange({
    table,
    clock,
    logger,
    mayStoreLackEntries,
}: ServerReportExchangeOptions): ServerReportExchange {
    const takeEntries = createRotation<Entry>();

    const createEntry = (server: BackendState, now: number, sharesCold: boolean): Entry | undefined => {
        const { record, hasAnnouncedLeaving: isLeaving } = server;
        const observation = server.rateLimit.observation(now);
        const rateLimit = observation && { ...observation, ageMs: Math.round(observation.ageMs) };
        const cold = sharesCold ? server.coldStatements.current(now) : undefined;
        return rateLimit !== undefined || isLeaving || cold !== undefined
            ? { server: record.id, startedAt: record.startedAt, rateLimit, isLeaving, ...(cold && { cold }) }
            : undefined;
    };

    const applyEntry = (server: BackendState, { rateLimit, isLeaving, cold }: Entry, now: number) => {
        if (rateLimit !== undefined) {
            const { requestsPerSecond, ageMs } = rateLimit;
            server.rateLimit.merge({ requestsPerSecond, ageMs }, now);
        }
        if (isLeaving) {
            table.markLeaving(server.record.id, ReportSource.Peer);
        }
        if (cold !== undefined) {
            extendColdTime(server, server.coldStatements.merge(cold, now));
        }
    };

    return {
        getDigest: () => {
            const now = clock.now();
            const sharesCold = mayStoreLackEntries();
            const entries = table
                .all()
                .map(server => createEntry(server, now, sharesCold))
                .filter(entry => entry !== undefined);
            return takeEntries(entries, maxEntries);
        },
        handlePeerDigest: digest => {
            const parsed = v.safeParse(digestSchema, digest);
            if (!parsed.success) {
                logger.warn("server-report-digest-rejected", { error: parsed.issues[0].message });
                return;
            }
            const now = clock.now();
            for (const entry of parsed.output) {
                const server = table.find(entry.server);
                if (server?.record.startedAt === entry.startedAt) {
                    applyEntry(server, entry, now);
                }
            }
        },
    };
}
