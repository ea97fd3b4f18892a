/** Rows of the known entry instances, merged by incarnation and then by status. */
import { MemberStatus, hashText } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";

/** At equal incarnations the later status of this list wins, so that all entries end with the same row. */
const statusOrder: readonly MemberStatus[] = [
    MemberStatus.Live,
    MemberStatus.Suspect,
    MemberStatus.Leaving,
    MemberStatus.Dead,
];

/** Returns whether `next` replaces `current`. */
export function isNewer(next: Member, current: Member | undefined): boolean {
    if (current === undefined || next.incarnation !== current.incarnation) {
        return current === undefined || next.incarnation > current.incarnation;
    }
    if (next.status !== current.status) {
        return statusOrder.indexOf(next.status) > statusOrder.indexOf(current.status);
    }
    return false;
}

/** A member that still serves: live, or suspected but not yet given up. */
export function isServing(member: Member): boolean {
    return member.status === MemberStatus.Live || member.status === MemberStatus.Suspect;
}

/** Copy of the rows with the indexes that readers need. Every change builds a new list, so readers may keep one. */
export interface MemberTable {
    find(id: string): Member | undefined;
    all(): readonly Member[];
    servingInRegion(region: string): readonly Member[];
    /** Hash over the ids, incarnations and statuses of all rows. */
    viewHash(): string;
    set(member: Member): void;
    remove(id: string): void;
}

/** Creates an empty table. */
export function createMemberTable(): MemberTable {
    const rows = new Map<string, Member>();
    let sorted: readonly Member[] | undefined;
    let byRegion = new Map<string, readonly Member[]>();
    let hash: string | undefined;

    const invalidate = () => {
        sorted = undefined;
        hash = undefined;
        byRegion = new Map();
    };

    const all = () => {
        sorted ??= [...rows.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
        return sorted;
    };

    return {
        find: id => rows.get(id),
        all,
        servingInRegion: region => {
            let list = byRegion.get(region);
            if (list === undefined) {
                list = all().filter(member => member.region === region && isServing(member));
                byRegion.set(region, list);
            }
            return list;
        },
        viewHash: () => {
            hash ??= hashText(
                all()
                    .map(({ id, incarnation, status, ready }) => `${id} ${incarnation} ${status} ${ready}`)
                    .join("\n"),
            );
            return hash;
        },
        set: member => {
            rows.set(member.id, member);
            invalidate();
        },
        remove: id => {
            rows.delete(id);
            invalidate();
        },
    };
}
