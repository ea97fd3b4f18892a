/** Active instances by availability zone and region, sorted anew only when the members have changed. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { pickActive } from "./active-instances.js";

/** The arrays that the methods return stay the same while no member changes. */
export interface InstanceTopology {
    /** Ids of the active instances of a zone. */
    inZone(zone: string): readonly string[];
    inRegion(region: string): readonly string[];
    /** Ids of the active instances that are nearest to a zone: those of the zone, else of its region, else all. */
    nearest(zone: string, region: string): readonly string[];
    /**
     * Instances between which what the fleet may do is divided: the active ones. An instance that stands by takes its part of
     * the whole fleet.
     */
    budgetDivisor(): number;
}

export interface InstanceTopologyOptions {
    selfId: string;
    /** Returns another array whenever a member has changed. */
    members: () => readonly Member[];
}

interface Places {
    budgetDivisor: number;
    all: readonly string[];
    byZone: ReadonlyMap<string, readonly string[]>;
    byRegion: ReadonlyMap<string, readonly string[]>;
}

const none: readonly string[] = [];

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

function sortByPlace(members: readonly Member[], selfId: string): Places {
    const live = members.filter(({ status }) => status !== MemberStatus.Dead);
    const zones = [...groupBy(live, ({ zone }) => zone).values()];
    const active = zones.flatMap(pickActive);
    const isActive = active.some(({ id }) => id === selfId);
    return {
        budgetDivisor: Math.max(1, isActive ? active.length : live.length),
        all: active.map(({ id }) => id),
        byZone: toIds(groupBy(active, ({ zone }) => zone)),
        byRegion: toIds(groupBy(active, ({ region }) => region)),
    };
}

export function createInstanceTopology({ selfId, members }: InstanceTopologyOptions): InstanceTopology {
    let sortedFrom: readonly Member[] | undefined;
    let places = sortByPlace([], selfId);

    const current = () => {
        const list = members();
        if (list !== sortedFrom) {
            sortedFrom = list;
            places = sortByPlace(list, selfId);
        }
        return places;
    };

    const inZone = (zone: string) => current().byZone.get(zone) ?? none;
    const inRegion = (region: string) => current().byRegion.get(region) ?? none;
    return {
        inZone,
        inRegion,
        nearest: (zone, region) =>
            [inZone(zone), inRegion(region)].find(ids => ids.length > 0) ?? current().all,
        budgetDivisor: () => current().budgetDivisor,
    };
}
