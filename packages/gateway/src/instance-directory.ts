/** Tells clients which instances to use: the active ones of their availability zone, else of their region, else any. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { pickActive } from "./active-instances.js";

export interface InstanceDirectory {
    /** Addresses of the nearest instances that serve. */
    find(region: string | undefined, zone: string | undefined): readonly string[];
}

/** Addresses in one answer. */
const maxAddresses = 64;

export function createInstanceDirectory(members: () => readonly Member[]): InstanceDirectory {
    const isServing = ({ status, ready }: Member) => status === MemberStatus.Live && ready;
    return {
        find: (region, zone) => {
            const serving = members().filter(isServing);
            const inZone = serving.filter(member => member.zone === zone);
            const inRegion = serving.filter(member => member.region === region);
            const nearest = [inZone, inRegion, serving].find(list => list.length > 0) ?? [];
            return pickActive(nearest)
                .slice(0, maxAddresses)
                .map(({ callerAddress }) => callerAddress);
        },
    };
}
