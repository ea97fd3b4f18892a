/** Shuffled round-robin order of gossip, so that each member is called once per round. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member, Random } from "@waxwingdale/core";
import type { MemberTable } from "./member-table.js";

export interface PeerOrder {
    /** Returns the next member that is not dead, or undefined if there is none. */
    next(): Member | undefined;
    /** Inserts a new member at a random position of the current round, so that it need not wait for the next one. */
    insert(id: string): void;
    /** Returns up to `count` random members that are not dead. */
    sample(count: number, exceptId?: string): Member[];
}

export function shuffle<T>(items: T[], random: Random): T[] {
    for (let i = items.length - 1; i > 0; i--) {
        const j = Math.floor(random() * (i + 1));
        [items[i], items[j]] = [items[j]!, items[i]!];
    }
    return items;
}

export function createPeerOrder(table: MemberTable, selfId: string, random: Random): PeerOrder {
    let order: string[] = [];
    const isPeer = (member: Member) => member.id !== selfId && member.status !== MemberStatus.Dead;
    const peers = () => table.all().filter(isPeer);

    const takeNext = () => {
        while (order.length > 0) {
            const member = table.find(order.pop()!);
            if (member !== undefined && isPeer(member)) {
                return member;
            }
        }
        return undefined;
    };

    return {
        next: () => {
            const member = takeNext();
            if (member !== undefined) {
                return member;
            }
            order = shuffle(
                peers().map(({ id }) => id),
                random,
            );
            return takeNext();
        },
        insert: id => {
            if (id !== selfId) {
                order.splice(Math.floor(random() * (order.length + 1)), 0, id);
            }
        },
        sample: (count, exceptId) =>
            shuffle(
                peers().filter(({ id }) => id !== exceptId),
                random,
            ).slice(0, count),
    };
}
