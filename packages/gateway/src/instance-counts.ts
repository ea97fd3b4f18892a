/**
 * Number of active instances for limits that all instances share: those visible, and those known in the last minute,
 * which include instances that are only cut off.
 */
import type { Clock, MemberView } from "@waxwingdale/core";
import { pickActive } from "./active-instances.js";
import type { InstanceTopology } from "./instance-topology.js";

export interface InstanceCounts {
    /** Samples the members; called several times a second. */
    update(): void;
    /** Fraction of the known active instances that are visible. Rises later than it falls. */
    visibleShare(): number;
    /** Number by which a budget of all instances is divided. */
    divisor(): number;
}

export interface InstanceCountsOptions {
    clock: Clock;
    topology: InstanceTopology;
    members: () => MemberView;
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
        values: () => samples.map(({ value }) => value),
    };
}

export function createInstanceCounts(options: InstanceCountsOptions): InstanceCounts {
    const { clock, topology } = options;
    const startedAt = clock.now();
    const recentCounts = createRecentValues(options.riseDelayMs);
    const knownCounts = createRecentValues(knownMs);
    const divisors = createRecentValues(knownMs);

    /** Includes dead members, which an instance that has just started has never seen alive. */
    const countRows = () => {
        const rows = options.members().members();
        const zones = new Set(rows.map(({ zone }) => zone));
        return [...zones].reduce(
            (sum, zone) => sum + pickActive(rows.filter(row => row.zone === zone)).length,
            0,
        );
    };

    /** An instance without peers may be cut off; the seeds say how many there could be. */
    const countSeeds = () => {
        const { peerAddress } = options.members().self();
        return 1 + new Set(options.seeds().filter(seed => seed !== peerAddress)).size;
    };

    const countKnown = (now: number) => {
        const visible = topology.all().length;
        const rows = now - startedAt < knownMs ? countRows() : 0;
        return Math.max(visible, rows, visible <= 1 ? countSeeds() : 0);
    };

    const known = () => Math.max(1, ...knownCounts.values());

    return {
        update: () => {
            const now = clock.now();
            recentCounts.add(topology.all().length, now);
            knownCounts.add(countKnown(now), now);
            divisors.add(topology.budgetDivisor(), now);
        },
        visibleShare: () => Math.min(...recentCounts.values(), known()) / known(),
        divisor: () => Math.max(known(), ...divisors.values()),
    };
}
