/** Selects instances for clients: the active ones in their availability zone, else in their region, else anywhere. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { pickActive } from "./active-instances.js";

export interface InstanceDirectory {
    /** Returns the addresses of the nearest instances that are ready. */
    find(region: string | undefined, zone: string | undefined): readonly string[];
}

/** Maximum number of addresses in a response. */
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
