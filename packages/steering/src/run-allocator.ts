/**
 * Pool of slots in pages of typed arrays. A run of slots lies in one page. Growth adds a page and copies nothing, so no
 * call takes long. Freed runs are reused for runs of the same size class.
 */
export interface RunAllocator {
    /** Pages of two words for each slot. */
    readonly pages: Uint32Array[];
    /** Returns the address of a run that holds `capacity` slots, which must be a value of `roundCapacity`. */
    allocate(capacity: number): number;
    free(address: number, capacity: number): void;
    memoryBytes(): number;
}

/** Slots of a page as a power of two. A page holds the largest run, of 2^17 slots, twice. */
export const pageBits = 18;
export const pageRecords = 1 << pageBits;
export const offsetMask = pageRecords - 1;

/** Returns the size class of a run: powers of two and the middles between them. */
export function roundCapacity(slots: number): number {
    let capacity = 4;
    while (capacity < slots) {
        const middle = capacity + capacity / 2;
        if (middle >= slots) {
            return middle;
        }
        capacity *= 2;
    }
    return capacity;
}

export function createRunAllocator(): RunAllocator {
    const pages: Uint32Array[] = [];
    const freeRuns = new Map<number, number[]>();
    let used = pageRecords;

    return {
        pages,
        allocate: capacity => {
            const reused = freeRuns.get(capacity)?.pop();
            if (reused !== undefined) {
                return reused;
            }
            if (used + capacity > pageRecords) {
                pages.push(new Uint32Array(pageRecords * 2));
                used = 0;
            }
            const address = (pages.length - 1) * pageRecords + used;
            used += capacity;
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
