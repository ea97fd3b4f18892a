/** Active instances by availability zone and region, sorted anew only when the members have changed. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { pickActive } from "./active-instances.js";

/** The arrays that the methods return stay the same while no member changes. */
export interface InstancePlaces {
    /** Ids of the active instances of a zone. */
    inZone(zone: string): readonly string[];
    inRegion(region: string): readonly string[];
    /** Ids of the active instances that are nearest to a zone: those of the zone, else of its region, else all. */
    nearest(zone: string, region: string): readonly string[];
    /**
     * Instances between which what the fleet may do is divided, as one of them sees it. An instance that gets few requests
     * takes its part of the whole fleet.
     */
    countSharers(selfId: string): number;
}

interface Places {
    instances: number;
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

function sortByPlace(members: readonly Member[]): Places {
    const live = members.filter(({ status }) => status !== MemberStatus.Dead);
    const zones = [...groupBy(live, ({ zone }) => zone).values()];
    const active = zones.flatMap(pickActive);
    return {
        instances: live.length,
        all: active.map(({ id }) => id),
        byZone: toIds(groupBy(active, ({ zone }) => zone)),
        byRegion: toIds(groupBy(active, ({ region }) => region)),
    };
}

/** `members` returns another array whenever a member has changed. */
export function createInstancePlaces(members: () => readonly Member[]): InstancePlaces {
    let sortedFrom: readonly Member[] | undefined;
    let places = sortByPlace([]);

    const current = () => {
        const list = members();
        if (list !== sortedFrom) {
            sortedFrom = list;
            places = sortByPlace(list);
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
        countSharers: selfId => {
            const { all, instances } = current();
            return Math.max(1, all.includes(selfId) ? all.length : instances);
        },
    };
}
