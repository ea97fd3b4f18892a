/**
 * Allocator of runs of consecutive records in pages of typed arrays. A run lies within one page. Growth adds a page and
 * copies nothing, so no call takes long. Freed runs are reused for runs of the same size class.
 */
export interface RunAllocator {
    /** Pages, with two words per record. */
    readonly pages: Uint32Array[];
    /** Returns the address of a run of `capacity` records, which must be a result of `roundCapacity`. */
    allocate(capacity: number): number;
    free(address: number, capacity: number): void;
    memoryBytes(): number;
}

/** Binary logarithm of the records per page. A page holds two of the largest runs, of 2^17 records each. */
export const pageBits = 18;
export const pageRecords = 1 << pageBits;
export const offsetMask = pageRecords - 1;

/** Returns the size class of a run. Size classes are the powers of two and the midpoints between them. */
export function roundCapacity(records: number): number {
    let capacity = 4;
    while (capacity < records) {
        const midpoint = capacity + capacity / 2;
        if (midpoint >= records) {
            return midpoint;
        }
        capacity *= 2;
    }
    return capacity;
}

export function createRunAllocator(): RunAllocator {
    const pages: Uint32Array[] = [];
    const freeRuns = new Map<number, number[]>();
    let usedRecords = pageRecords;

    return {
        pages,
        allocate: capacity => {
            const reused = freeRuns.get(capacity)?.pop();
            if (reused !== undefined) {
                return reused;
            }
            if (usedRecords + capacity > pageRecords) {
                pages.push(new Uint32Array(pageRecords * 2));
                usedRecords = 0;
            }
            const address = (pages.length - 1) * pageRecords + usedRecords;
            usedRecords += capacity;
            return address;
        },
        free: (address, capacity) => {
            const runs = freeRuns.get(capacity);
            if (runs) {
                runs.push(address);
            } else {
                freeRuns.set(capacity, [address]);
            }
        },
        memoryBytes: () => pages.length * pageRecords * 8,
    };
}
