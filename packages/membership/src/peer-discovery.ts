/** Finds members missing from the view: joins through seeds, and reconnects groups isolated from each other. */
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, Member, Random } from "@waxwingdale/core";
import type { MemberTable } from "./member-table.js";
import type { MembershipLimits } from "./membership-limits.js";
import { shuffle } from "./peer-order.js";
import type { ViewExchange } from "./view-exchange.js";

const seedsPerAttempt = 3;
const maxFoundPeers = 12;
/** Timeout of `findSeeds`, since a slow store must not delay the gossip. */
const findSeedsTimeoutMs = 5000;
/** Period after startup with frequent seed checks: members that start simultaneously may form isolated groups. */
const startupMs = 60_000;
const startupSeedCheckMs = 5000;
const maxJoinDelayMs = 4000;

export interface PeerDiscovery {
    /** Contacts a few seeds. Returns whether one responded. */
    join(): Promise<boolean>;
    /** Whether all who could be found outside the seeds were called, and none responded. */
    hasFoundNobody(): boolean;
    /** Returns the delay in milliseconds after the given number of failed attempts to join. */
    joinBackoffMs(failures: number): number;
    /** Contacts a dead member or an unknown seed if an attempt is due. */
    reconnect(): Promise<void>;
}

export interface PeerDiscoveryOptions {
    self: () => Member;
    table: MemberTable;
    exchange: ViewExchange;
    findSeeds: () => Promise<string[]>;
    findPeers: (() => Promise<string[]>) | undefined;
    clock: Clock;
    random: Random;
    logger: Logger;
    limits: MembershipLimits;
}

export function createPeerDiscovery(options: PeerDiscoveryOptions): PeerDiscovery {
    const { self, table, exchange, clock, random, logger, limits } = options;
    const startedAt = clock.now();
    const jitter = () => 0.8 + 0.4 * random();
    let nextDeadRetryAt = startedAt;
    let foundNobody = false;
    let nextSeedCheckAt = startedAt + startupSeedCheckMs * jitter();

    const isOther = (address: string) => address !== self().peerAddress;

    const findSeeds = async (): Promise<string[]> => {
        const timeout = clock.sleep(findSeedsTimeoutMs).then(() => {
            throw new Error(`reading the seed list timed out after ${findSeedsTimeoutMs} ms`);
        });
        const seeds = await Promise.race([options.findSeeds(), timeout]);
        return seeds.filter(isOther);
    };

    const tryAddress = async (address: string): Promise<boolean> => {
        try {
            await exchange.exchange(address);
            return true;
        } catch (err) {
            logger.debug("retry-failed", { peer: address, error: getErrorMessage(err) });
            return false;
        }
    };

    const pickRandom = <T>(items: T[]): T | undefined => items[Math.floor(random() * items.length)];

    const retryDead = async () => {
        nextDeadRetryAt = clock.now() + limits.deadRetryIntervalMs * jitter();
        const dead = table.all().filter(({ id, status }) => status === MemberStatus.Dead && id !== self().id);
        const member = pickRandom(dead);
        if (member !== undefined && (await tryAddress(member.peerAddress))) {
            // The partition is over, so the other members on that side are likely to respond, too.
            nextDeadRetryAt = clock.now();
        }
    };

    const retrySeed = async () => {
        const waitMs = clock.now() - startedAt < startupMs ? startupSeedCheckMs : limits.seedCheckIntervalMs;
        nextSeedCheckAt = clock.now() + waitMs * jitter();
        try {
            const known = new Set(
                table
                    .all()
                    .filter(({ status }) => status !== MemberStatus.Dead)
                    .map(({ peerAddress }) => peerAddress),
            );
            const seed = pickRandom((await findSeeds()).filter(address => !known.has(address)));
            if (seed !== undefined) {
                await tryAddress(seed);
            }
        } catch (err) {
            logger.debug("seeds-unavailable", { error: getErrorMessage(err) });
        }
    };

    const tryAll = async (addresses: readonly string[]): Promise<boolean> =>
        (await Promise.all(addresses.map(tryAddress))).includes(true);

    const joinOutsideSeeds = async (): Promise<boolean> => {
        if (options.findPeers === undefined) {
            return false;
        }
        const peers = (await options.findPeers()).filter(isOther).slice(0, maxFoundPeers);
        const hasJoined = await tryAll(peers);
        foundNobody = !hasJoined;
        return hasJoined;
    };

    return {
        join: async () => {
            try {
                const seeds = shuffle(await findSeeds(), random).slice(0, seedsPerAttempt);
                return (await tryAll(seeds)) || (await joinOutsideSeeds());
            } catch (err) {
                logger.warn("join-failed", { error: getErrorMessage(err) });
                return false;
            }
        },
        hasFoundNobody: () => foundNobody,
        joinBackoffMs: failures =>
            Math.min(maxJoinDelayMs, limits.gossipIntervalMs * 2 ** failures) * jitter(),
        reconnect: async () => {
            const now = clock.now();
            await Promise.all([
                now >= nextDeadRetryAt ? retryDead() : undefined,
                now >= nextSeedCheckAt ? retrySeed() : undefined,
            ]);
        },
    };
}
