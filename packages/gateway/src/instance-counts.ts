/**
 * Numbers of instances for limits that all instances share: those visible, and those known in the last minute, which include
 * instances that are only cut off.
 */
import { MemberStatus } from "@waxwingdale/core";
import type { Clock, MemberView } from "@waxwingdale/core";
import { pickLarge } from "./active-instances.js";
import type { InstanceTopology } from "./instance-topology.js";

export interface InstanceCounts {
    /** Samples the members; called several times a second. */
    update(): void;
    /**
     * Fraction of the known instances that are visible. Rises later than it falls. All instances count, as the number of
     * active ones depends on which of them are visible.
     */
    visibleShare(): number;
    /** Number by which a budget of all large instances is divided. */
    divisor(): number;
}

export interface InstanceCountsOptions {
    clock: Clock;
    topology: InstanceTopology;
    members: () => MemberView;
    /**
     * Whether this instance has found that all others are gone, not only out of reach.
     * @default never
     */
    isAlone?: () => boolean;
    /** Peer addresses from the settings. */
    seeds: () => readonly string[];
    /** Time in milliseconds for which an instance that has become visible does not count yet. */
    riseDelayMs: number;
}

/** Time in milliseconds for which an instance is known after it was last visible. */
const knownMs = 60_000;

interface Sample {
    value: number;
    seenAt: number;
}

/** Keeps the values of a time window, the one at its start included. */
function createRecentValues(windowMs: number) {
    let samples: Sample[] = [];
    return {
        add: (value: number, now: number) => {
            const last = samples.at(-1);
            if (last?.value === value) {
                last.seenAt = now;
            } else {
                samples.push({ value, seenAt: now });
            }
            samples = samples.filter(({ seenAt }) => seenAt >= now - windowMs);
        },
        reset: (value: number, now: number) => void (samples = [{ value, seenAt: now }]),
        values: () => samples.map(({ value }) => value),
    };
}

export function createInstanceCounts(options: InstanceCountsOptions): InstanceCounts {
    const { clock, topology } = options;
    const startedAt = clock.now();
    const recentCounts = createRecentValues(options.riseDelayMs);
    const knownCounts = createRecentValues(knownMs);
    const largeCounts = createRecentValues(knownMs);

    /** Includes dead members while this instance may never have seen them alive. */
    const getKnownMembers = (now: number) =>
        now - startedAt < knownMs
            ? options.members().members()
            : options
                  .members()
                  .members()
                  .filter(({ status }) => status !== MemberStatus.Dead);

    /** An instance without peers may be cut off; the seeds say how many there could be. */
    const countSeeds = () => {
        if (topology.live().length > 1) {
            return 0;
        }
        const { peerAddress } = options.members().self();
        return 1 + new Set(options.seeds().filter(seed => seed !== peerAddress)).size;
    };

    const known = () => Math.max(1, ...knownCounts.values());

    return {
        update: () => {
            const now = clock.now();
            if (options.isAlone?.() === true && topology.live().length <= 1) {
                [recentCounts, knownCounts, largeCounts].forEach(counts => counts.reset(1, now));
                return;
            }
            const members = getKnownMembers(now);
            recentCounts.add(topology.live().length, now);
            knownCounts.add(Math.max(topology.live().length, members.length, countSeeds()), now);
            largeCounts.add(Math.max(topology.large().length, pickLarge(members).length, countSeeds()), now);
        },
        visibleShare: () => Math.min(...recentCounts.values(), known()) / known(),
        divisor: () => Math.max(1, ...largeCounts.values()),
    };
}
