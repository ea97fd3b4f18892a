/** Live instances by availability zone and region, sorted anew only when the members have changed. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";

export interface InstancePlaces {
    /** Ids of the instances of a zone. The array stays the same while no member changes, as for the other methods. */
    inZone(zone: string): readonly string[];
    inRegion(region: string): readonly string[];
    /** Ids of the instances that are nearest to a zone: those of the zone, else of its region, else all. */
    sendersNear(zone: string, region: string): readonly string[];
}

interface Places {
    all: readonly string[];
    byZone: ReadonlyMap<string, readonly string[]>;
    byRegion: ReadonlyMap<string, readonly string[]>;
}

const none: readonly string[] = [];

function groupIds(members: readonly Member[], placeOf: (member: Member) => string): Map<string, string[]> {
    const groups = new Map<string, string[]>();
    for (const member of members) {
        const ids = groups.get(placeOf(member)) ?? [];
        groups.set(placeOf(member), ids);
        ids.push(member.id);
    }
    return groups;
}

/** `members` returns another array whenever a member has changed. */
export function createInstancePlaces(members: () => readonly Member[]): InstancePlaces {
    let sortedFrom: readonly Member[] | undefined;
    let places: Places = { all: none, byZone: new Map(), byRegion: new Map() };

    const current = () => {
        const list = members();
        if (list !== sortedFrom) {
            sortedFrom = list;
            const live = list.filter(({ status }) => status !== MemberStatus.Dead);
            places = {
                all: live.map(({ id }) => id),
                byZone: groupIds(live, ({ zone }) => zone),
                byRegion: groupIds(live, ({ region }) => region),
            };
        }
        return places;
    };

    const inZone = (zone: string) => current().byZone.get(zone) ?? none;
    const inRegion = (region: string) => current().byRegion.get(region) ?? none;
    return {
        inZone,
        inRegion,
        sendersNear: (zone, region) =>
            [inZone(zone), inRegion(region)].find(ids => ids.length > 0) ?? current().all,
    };
}
