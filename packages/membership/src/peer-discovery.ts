/** Ways to meet entries that the view lacks: joining by seeds, dead members that may live behind a cut, and islands. */
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, Member, Random } from "@waxwingdale/core";
import type { MemberTable } from "./member-table.js";
import type { MembershipLimits } from "./membership-limits.js";
import { shuffle } from "./peer-order.js";
import type { ViewExchange } from "./view-exchange.js";

const seedsPerAttempt = 3;
/** Time in milliseconds that the seed source has, since a slow store must not hold up the gossip. */
const findSeedsTimeoutMs = 5000;
/** Time in milliseconds after the start in which the seeds are checked often: a fleet that starts at once may join in islands. */
const startupMs = 60_000;
const startupSeedCheckMs = 5000;
const maxJoinDelayMs = 4000;

export interface PeerDiscovery {
    /** Tries some seeds. Returns whether one answered. */
    join(): Promise<boolean>;
    /** Time in milliseconds to wait after the given number of failed attempts to join. */
    joinBackoffMs(failures: number): number;
    /** Tries a dead member or an unknown seed when that is due. */
    reconnect(): Promise<void>;
}

export interface PeerDiscoveryOptions {
    self: () => Member;
    table: MemberTable;
    exchange: ViewExchange;
    findSeeds: () => Promise<string[]>;
    clock: Clock;
    random: Random;
    logger: Logger;
    limits: MembershipLimits;
}

export function createPeerDiscovery(options: PeerDiscoveryOptions): PeerDiscovery {
    const { self, table, exchange, clock, random, logger, limits } = options;
    const startedAt = clock.now();
    const jitter = () => 0.8 + 0.4 * random();
    let nextDeadAt = startedAt;
    let nextSeedAt = startedAt + startupSeedCheckMs * jitter();

    const findSeeds = async (): Promise<string[]> => {
        const timeout = clock.sleep(findSeedsTimeoutMs).then(() => {
            throw new Error(`the seed list did not arrive within ${findSeedsTimeoutMs} ms`);
        });
        const seeds = await Promise.race([options.findSeeds(), timeout]);
        return seeds.filter(address => address !== self().peerAddress);
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

    const pick = <T>(items: T[]): T | undefined => items[Math.floor(random() * items.length)];

    const retryDead = async () => {
        nextDeadAt = clock.now() + limits.deadRetryIntervalMs * jitter();
        const dead = table.all().filter(({ id, status }) => status === MemberStatus.Dead && id !== self().id);
        const member = pick(dead);
        if (member !== undefined && (await tryAddress(member.peerAddress))) {
            // The cut is over, so the other members behind it answer as well.
            nextDeadAt = clock.now();
        }
    };

    const retrySeed = async () => {
        const waitMs = clock.now() - startedAt < startupMs ? startupSeedCheckMs : limits.seedCheckIntervalMs;
        nextSeedAt = clock.now() + waitMs * jitter();
        try {
            const known = new Set(
                table
                    .all()
                    .filter(({ status }) => status !== MemberStatus.Dead)
                    .map(({ peerAddress }) => peerAddress),
            );
            const seed = pick((await findSeeds()).filter(address => !known.has(address)));
            if (seed !== undefined) {
                await tryAddress(seed);
            }
        } catch (err) {
            logger.debug("seeds-unavailable", { error: getErrorMessage(err) });
        }
    };

    return {
        join: async () => {
            try {
                const seeds = shuffle(await findSeeds(), random).slice(0, seedsPerAttempt);
                const results = await Promise.all(seeds.map(tryAddress));
                return results.includes(true);
            } catch (err) {
                logger.warn("join-failed", { error: getErrorMessage(err) });
                return false;
            }
        },
        joinBackoffMs: failures =>
            Math.min(maxJoinDelayMs, limits.gossipIntervalMs * 2 ** failures) * jitter(),
        reconnect: async () => {
            const now = clock.now();
            await Promise.all([
                now >= nextDeadAt ? retryDead() : undefined,
                now >= nextSeedAt ? retrySeed() : undefined,
            ]);
        },
    };
}
