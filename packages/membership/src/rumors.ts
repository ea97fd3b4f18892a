/** Recently changed rows that this member still has to spread. */
import type { Member } from "@waxwingdale/core";
import type { MemberTable } from "./member-table.js";

/**
 * Number of times that a changed row is sent, as a multiple of log2 of the fleet size. Syncs update the few members
 * that a change does not reach. With 1.5, mass changes took longer to spread because old rows used up the row budget.
 */
const retransmitFactor = 1;

export interface Rumors {
    add(id: string): void;
    remove(id: string): void;
    /** Returns the rows that were sent the fewest times, and counts them as sent. */
    take(count: number): Member[];
    /**
     * Records that a peer already has all of these rows. Without this, rows keep circulating for minutes when a whole
     * fleet starts at once.
     */
    confirm(): void;
    size(): number;
}

/** Number of sends that a peer with an identical view counts for. */
const confirmSends = 2;

export function createRumors(table: MemberTable): Rumors {
    /** Number of times that each row was sent, by member id. */
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
