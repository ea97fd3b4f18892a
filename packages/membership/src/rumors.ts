/** Changed rows that this entry still passes on. */
import type { Member } from "@waxwingdale/core";
import type { MemberTable } from "./member-table.js";

/**
 * Messages that carry a changed row, as a multiple of the binary logarithm of the fleet's size. The sync of differing
 * buckets repairs the rare entry that a change misses; with 1.5 a mass change took longer, as old rows used up the budget.
 */
const retransmitFactor = 1;

export interface Rumors {
    add(id: string): void;
    remove(id: string): void;
    /** Takes the rows that were sent the fewest times. */
    take(count: number): Member[];
    /** A peer holds all of these rows already. Without this, rows of a fleet that starts at once circulate for minutes. */
    confirm(): void;
    size(): number;
}

/** Sends that a peer with an equal view counts for. */
const confirmSends = 2;

export function createRumors(table: MemberTable): Rumors {
    /** Times that each row was sent. */
    const sends = new Map<string, number>();
    const maxSends = () => Math.ceil(retransmitFactor * Math.log2(table.all().length + 1));

    const countSends = (id: string, sent: number) => {
        if (sent >= maxSends()) {
            sends.delete(id);
        } else {
            sends.set(id, sent);
        }
    };

    return {
        add: id => void sends.set(id, 0),
        remove: id => void sends.delete(id),
        take: count => {
            const chosen = [...sends].sort((a, b) => a[1] - b[1]).slice(0, count);
            for (const [id, sent] of chosen) {
                countSends(id, sent + 1);
            }
            return chosen.map(([id]) => table.find(id)).filter(row => row !== undefined);
        },
        confirm: () => {
            for (const [id, sent] of [...sends]) {
                countSends(id, sent + confirmSends);
            }
        },
        size: () => sends.size,
    };
}
