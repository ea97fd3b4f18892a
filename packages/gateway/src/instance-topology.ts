/** Active instances by availability zone and region, recomputed only when the members have changed. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { pickActive, pickLarge } from "./active-instances.js";

/** The methods return the same arrays until a member changes. */
export interface InstanceTopology {
    /** Returns the ids of all active instances. */
    all(): readonly string[];
    /** Returns the ids of all instances that are not dead. */
    live(): readonly string[];
    /**
     * Returns the ids of the large instances of the whole fleet. Unlike the active ones, they stay the same while one of them
     * restarts.
     */
    large(): readonly string[];
    /** Returns the ids of the active instances in a zone. */
    inZone(zone: string): readonly string[];
    inRegion(region: string): readonly string[];
    /** Returns the ids of the active instances in a region, or of all active ones if there are none. */
    inRegionOrAll(region: string): readonly string[];
    /** Returns the ids of the active instances nearest to a zone: those in the zone, else in its region, else all. */
    nearest(zone: string, region: string): readonly string[];
    /**
     * Returns the number of instances that fleet-wide budgets are divided by: the active ones or, on a standby
     * instance, all instances.
     */
    budgetDivisor(): number;
}

export interface InstanceTopologyOptions {
    selfId: string;
    /** Returns a new array whenever a member has changed. */
    members: () => readonly Member[];
}

interface Topology {
    budgetDivisor: number;
    all: readonly string[];
    live: readonly string[];
    large: readonly string[];
    byZone: ReadonlyMap<string, readonly string[]>;
    byRegion: ReadonlyMap<string, readonly string[]>;
}

const noIds: readonly string[] = [];

function groupBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const group = groups.get(keyOf(item)) ?? [];
        groups.set(keyOf(item), group);
        group.push(item);
    }
    return groups;
}

function toIds(groups: ReadonlyMap<string, readonly Member[]>): Map<string, readonly string[]> {
    return new Map([...groups].map(([key, members]) => [key, members.map(({ id }) => id)]));
}

function buildTopology(members: readonly Member[], selfId: string): Topology {
    const live = members.filter(({ status }) => status !== MemberStatus.Dead);
    const zones = [...groupBy(live, ({ zone }) => zone).values()];
    const active = zones.flatMap(pickActive);
    const isActive = active.some(({ id }) => id === selfId);
    return {
        budgetDivisor: Math.max(1, isActive ? active.length : live.length),
        all: active.map(({ id }) => id),
        live: live.map(({ id }) => id),
        large: pickLarge(live).map(({ id }) => id),
        byZone: toIds(groupBy(active, ({ zone }) => zone)),
        byRegion: toIds(groupBy(active, ({ region }) => region)),
    };
}

export function createInstanceTopology({ selfId, members }: InstanceTopologyOptions): InstanceTopology {
    let lastMembers: readonly Member[] | undefined;
    let topology = buildTopology([], selfId);

    const current = () => {
        const list = members();
        if (list !== lastMembers) {
            lastMembers = list;
            topology = buildTopology(list, selfId);
        }
        return topology;
    };

    const inZone = (zone: string) => current().byZone.get(zone) ?? noIds;
    const inRegion = (region: string) => current().byRegion.get(region) ?? noIds;
    return {
        all: () => current().all,
        live: () => current().live,
        large: () => current().large,
        inZone,
        inRegion,
        inRegionOrAll: region => {
            const ids = inRegion(region);
            return ids.length > 0 ? ids : current().all;
        },
        nearest: (zone, region) =>
            [inZone(zone), inRegion(region)].find(ids => ids.length > 0) ?? current().all,
        budgetDivisor: () => current().budgetDivisor,
    };
}
