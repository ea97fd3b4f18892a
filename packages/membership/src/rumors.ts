/** Changed rows that this entry still passes on. */
import type { Member } from "@waxwingdale/core";
import type { MemberTable } from "./member-table.js";

/**
 * Messages that carry a changed row, as a multiple of the rounds that an epidemic needs. The sync of differing buckets
 * repairs the rare entry that a change misses, so a greater factor would only cost bytes.
 */
const retransmitFactor = 1.5;

export interface Rumors {
    add(id: string): void;
    remove(id: string): void;
    /** Takes the rows that were sent the fewest times. */
    take(count: number): Member[];
    size(): number;
}

export function createRumors(table: MemberTable): Rumors {
    /** Times that each row was sent. */
    const sends = new Map<string, number>();
    const maxSends = () => Math.ceil(retransmitFactor * Math.log2(table.all().length + 1));

    return {
        add: id => void sends.set(id, 0),
        remove: id => void sends.delete(id),
        take: count => {
            const chosen = [...sends].sort((a, b) => a[1] - b[1]).slice(0, count);
            const last = maxSends();
            for (const [id, sent] of chosen) {
                if (sent + 1 >= last) {
                    sends.delete(id);
                } else {
                    sends.set(id, sent + 1);
                }
            }
            return chosen.map(([id]) => table.find(id)).filter(row => row !== undefined);
        },
        size: () => sends.size,
    };
}
