/**
 * Longest-prefix match of IPv4 client blocks.
 *
 * Blocks with prefixes longer than 16 bits are stored in 65,536 buckets by the upper half of their address, sorted by
 * address and then by prefix length. A lookup finds the last block that starts at or before the address by binary
 * search. The match is that block or one that encloses it, so each record holds the distance to the record of its
 * enclosing block. Blocks with prefixes of up to 16 bits are written to every bucket that they cover. A change rewrites
 * one bucket, so lookups between two changes see each block either before or after its change.
 */
import type { Clock } from "@waxwingdale/core";
import type { ClientBlockSpec } from "@waxwingdale/manifest";
import { ClientBlockError, formatIpv4, parseIpv4Block } from "./ipv4.js";
import { createRunAllocator, offsetMask, pageBits, roundCapacity } from "./run-allocator.js";

/** A block to set, or to remove if `region` is undefined. */
export interface ClientBlockChange {
    block: string;
    region: string | undefined;
}

export interface ClientBlockTable {
    /** Returns the region of the block with the longest prefix that matches the address. */
    find(address: number): string | undefined;
    /** Adds a block or moves it to another region. */
    set(block: string, region: string): void;
    /** Removes a block. Returns whether the table contained it. */
    remove(block: string): boolean;
    /** Applies changes in slices of at most `sliceMs` milliseconds, 1 by default, between which lookups can run. */
    applyInSlices(changes: Iterable<ClientBlockChange>, clock: Clock, sliceMs?: number): Promise<void>;
    size(): number;
    memoryBytes(): number;
}

const bucketCount = 1 << 16;
/** Maximum prefix length of the blocks that are written to each bucket that they cover. */
const maxShortLength = 16;
// A record has two words: the address, and from the highest bit: length minus 17 (4 bits), region (11), distance (17).
const lengthShift = 28;
const regionShift = 17;
const maxRegions = 1 << 11;
const regionMask = maxRegions - 1;
const distanceMask = (1 << regionShift) - 1;
/** Maximum nesting of blocks in one bucket: one block for each prefix length from 17 to 32. */
const maxDepth = 16;
/** Blocks that a build processes between two checks of the clock; each takes well below a microsecond. */
const stepsPerCheck = 64;
/** Number of blocks per chunk of the build's working memory. */
const chunkRecords = 1 << 16;
/** Short enough that pauses stay below 5 ms together with garbage collection. */
const defaultSliceMs = 1;

/** Creates a table synchronously. */
export function createClientBlockTable(blocks: readonly ClientBlockSpec[]): ClientBlockTable {
    const { table, build } = createEmptyTable();
    const steps = build(blocks);
    while (!steps.next().done) {
        // Run to completion.
    }
    return table;
}

/** Creates a table in slices of at most `sliceMs` milliseconds, between which other tasks can run. */
export async function createClientBlockTableInSlices(
    blocks: readonly ClientBlockSpec[],
    clock: Clock,
    sliceMs = defaultSliceMs,
): Promise<ClientBlockTable> {
    const { table, build } = createEmptyTable();
    await runInSlices(build(blocks), clock, sliceMs);
    return table;
}

async function runInSlices(steps: Iterator<void>, clock: Clock, sliceMs: number): Promise<void> {
    let end = clock.now() + sliceMs;
    while (!steps.next().done) {
        if (clock.now() >= end) {
            await clock.sleep(0);
            end = clock.now() + sliceMs;
        }
    }
}

function createEmptyTable() {
    const allocator = createRunAllocator();
    const { pages } = allocator;
    const addresses = new Uint32Array(bucketCount);
    const recordCounts = new Uint32Array(bucketCount);
    const capacities = new Uint32Array(bucketCount);
    /** Region id of the longest short block that covers the bucket, plus one; 0 if there is none. */
    const shortRegions = new Uint16Array(bucketCount);
    const shortLengths = new Uint8Array(bucketCount);
    const shortBlocks = new Map<number, number>();
    const regionNames: string[] = [];
    const regionIds = new Map<string, number>();
    const enclosing = new Int32Array(maxDepth);
    let size = 0;

    const getRegionId = (region: string): number => {
        let id = regionIds.get(region);
        if (id === undefined) {
            if (regionNames.length === maxRegions) {
                throw new ClientBlockError(`client blocks name more than ${maxRegions} regions; use fewer`);
            }
            id = regionNames.push(region) - 1;
            regionIds.set(region, id);
        }
        return id;
    };

    const find = (address: number): string | undefined => {
        const bucket = address >>> 16;
        const count = recordCounts[bucket]!;
        if (count > 0) {
            const page = pages[addresses[bucket]! >>> pageBits]!;
            const offset = addresses[bucket]! & offsetMask;
            let low = 0;
            let high = count;
            while (low < high) {
                const middle = (low + high) >>> 1;
                if (page[(offset + middle) * 2]! <= address) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            for (let i = low - 1; i >= 0;) {
                const word = page[(offset + i) * 2 + 1]!;
                const hostBits = 15 - (word >>> lengthShift);
                if ((address ^ page[(offset + i) * 2]!) >>> hostBits === 0) {
                    return regionNames[(word >>> regionShift) & regionMask];
                }
                const distance = word & distanceMask;
                i = distance === 0 ? -1 : i - distance;
            }
        }
        return regionNames[shortRegions[bucket]! - 1];
    };

    /** Writes to each record of a bucket the distance to the record of its enclosing block. */
    const linkBucket = (bucket: number): void => {
        const page = pages[addresses[bucket]! >>> pageBits]!;
        const offset = addresses[bucket]! & offsetMask;
        const count = recordCounts[bucket]!;
        let depth = 0;
        for (let i = 0; i < count; i++) {
            const at = (offset + i) * 2;
            while (depth > 0) {
                const outer = (offset + enclosing[depth - 1]!) * 2;
                const hostBits = 15 - (page[outer + 1]! >>> lengthShift);
                if ((page[outer]! ^ page[at]!) >>> hostBits === 0) {
                    break;
                }
                depth--;
            }
            const distance = depth > 0 ? i - enclosing[depth - 1]! : 0;
            page[at + 1] = ((page[at + 1]! & ~distanceMask) | distance) >>> 0;
            enclosing[depth++] = i;
        }
    };

    const packWord = (length: number, region: number) =>
        ((length - maxShortLength - 1) * 2 ** lengthShift + region * 2 ** regionShift) >>> 0;

    /** Returns the index of a block in its bucket, or the bitwise complement of the index to insert it at. */
    const findRecord = (bucket: number, base: number, length: number): number => {
        const page = pages[addresses[bucket]! >>> pageBits];
        const offset = addresses[bucket]! & offsetMask;
        let low = 0;
        let high = recordCounts[bucket]!;
        while (low < high) {
            const middle = (low + high) >>> 1;
            const at = (offset + middle) * 2;
            const otherBase = page![at]!;
            const otherLength = (page![at + 1]! >>> lengthShift) + maxShortLength + 1;
            if (otherBase === base && otherLength === length) {
                return middle;
            }
            if (otherBase < base || (otherBase === base && otherLength < length)) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return ~low;
    };

    const enlargeBucket = (bucket: number): void => {
        const count = recordCounts[bucket]!;
        const [oldAddress, oldCapacity] = [addresses[bucket]!, capacities[bucket]!];
        const capacity = roundCapacity(count + 1);
        const address = allocator.allocate(capacity);
        if (oldCapacity > 0) {
            const from = (oldAddress & offsetMask) * 2;
            const records = pages[oldAddress >>> pageBits]!.subarray(from, from + count * 2);
            pages[address >>> pageBits]!.set(records, (address & offsetMask) * 2);
            allocator.free(oldAddress, oldCapacity);
        }
        addresses[bucket] = address;
        capacities[bucket] = capacity;
    };

    const setLong = (base: number, length: number, region: number): void => {
        const bucket = base >>> 16;
        const found = findRecord(bucket, base, length);
        if (found < 0 && recordCounts[bucket] === capacities[bucket]) {
            enlargeBucket(bucket);
        }
        const page = pages[addresses[bucket]! >>> pageBits]!;
        const offset = addresses[bucket]! & offsetMask;
        if (found >= 0) {
            const at = (offset + found) * 2 + 1;
            page[at] = (packWord(length, region) | (page[at]! & distanceMask)) >>> 0;
            return;
        }
        const at = (offset + ~found) * 2;
        page.copyWithin(at + 2, at, (offset + recordCounts[bucket]!) * 2);
        page[at] = base;
        page[at + 1] = packWord(length, region);
        recordCounts[bucket]!++;
        size++;
        linkBucket(bucket);
    };

    const removeLong = (base: number, length: number): boolean => {
        const bucket = base >>> 16;
        const found = findRecord(bucket, base, length);
        if (found < 0) {
            return false;
        }
        const page = pages[addresses[bucket]! >>> pageBits]!;
        const offset = addresses[bucket]! & offsetMask;
        page.copyWithin((offset + found) * 2, (offset + found + 1) * 2, (offset + recordCounts[bucket]!) * 2);
        recordCounts[bucket]!--;
        size--;
        linkBucket(bucket);
        return true;
    };

    const shortKey = (base: number, length: number) => base * 64 + length;

    /** Writes a region to each bucket of a short block that no short block longer than `replacedLength` bits covers. */
    const fillBuckets = (
        base: number,
        length: number,
        replacedLength: number,
        next: number,
        nextLength: number,
    ): void => {
        const first = base >>> 16;
        const last = first + 2 ** (maxShortLength - length);
        for (let bucket = first; bucket < last; bucket++) {
            if (shortLengths[bucket]! <= replacedLength) {
                shortRegions[bucket] = next;
                shortLengths[bucket] = nextLength;
            }
        }
    };

    const setShort = (base: number, length: number, region: number): void => {
        const key = shortKey(base, length);
        size += shortBlocks.has(key) ? 0 : 1;
        shortBlocks.set(key, region);
        fillBuckets(base, length, length, region + 1, length);
    };

    const removeShort = (base: number, length: number): boolean => {
        if (!shortBlocks.delete(shortKey(base, length))) {
            return false;
        }
        size--;
        for (let outer = length - 1; outer >= 0; outer--) {
            const outerBase = outer === 0 ? 0 : ((base >>> (32 - outer)) << (32 - outer)) >>> 0;
            const region = shortBlocks.get(shortKey(outerBase, outer));
            if (region !== undefined) {
                fillBuckets(base, length, length, region + 1, outer);
                return true;
            }
        }
        fillBuckets(base, length, length, 0, 0);
        return true;
    };

    const setBlock = (base: number, length: number, region: number): void =>
        length <= maxShortLength ? setShort(base, length, region) : setLong(base, length, region);

    const removeBlock = (text: string): boolean => {
        const { base, prefixLength: length } = parseIpv4Block(text);
        return length <= maxShortLength ? removeShort(base, length) : removeLong(base, length);
    };

    /** Sorts a filled bucket. Blocks of a manifest are usually in order already. */
    const sortBucket = (bucket: number): void => {
        const page = pages[addresses[bucket]! >>> pageBits]!;
        const offset = addresses[bucket]! & offsetMask;
        const count = recordCounts[bucket]!;
        const keys = new Float64Array(count);
        let isSorted = true;
        for (let i = 0; i < count; i++) {
            const at = (offset + i) * 2;
            keys[i] = page[at]! * 2 ** 15 + (page[at + 1]! >>> regionShift);
            isSorted &&= i === 0 || keys[i - 1]! < keys[i]!;
        }
        if (!isSorted) {
            keys.sort();
        }
        for (let i = 0; i < count; i++) {
            const at = (offset + i) * 2;
            const base = Math.floor(keys[i]! / 2 ** 15);
            const word = ((keys[i]! % 2 ** 15) * 2 ** regionShift) >>> 0;
            if (i > 0 && page[at - 2] === base && page[at - 1]! >>> lengthShift === word >>> lengthShift) {
                const length = (word >>> lengthShift) + maxShortLength + 1;
                throw new ClientBlockError(
                    `client block ${formatIpv4(base)}/${length} is listed twice; remove one of the two`,
                );
            }
            page[at] = base;
            page[at + 1] = word;
        }
    };

    const build = function* (blocks: readonly ClientBlockSpec[]): Generator<void> {
        // Base and word of each long block, in chunks: a single array of this size would take milliseconds to allocate.
        const chunks: Uint32Array[] = [];
        let longCount = 0;
        for (let i = 0; i < blocks.length; i++) {
            const { block, region } = blocks[i]!;
            const { base, prefixLength: length } = parseIpv4Block(block);
            const id = getRegionId(region);
            if (length <= maxShortLength) {
                if (shortBlocks.has(shortKey(base, length))) {
                    throw new ClientBlockError(
                        `client block ${block} is listed twice; remove one of the two`,
                    );
                }
                setShort(base, length, id);
            } else {
                if (longCount % chunkRecords === 0) {
                    chunks.push(new Uint32Array(chunkRecords * 2));
                }
                const at = (longCount++ % chunkRecords) * 2;
                chunks.at(-1)![at] = base;
                chunks.at(-1)![at + 1] = packWord(length, id);
                capacities[base >>> 16]!++;
            }
            if (i % stepsPerCheck === 0) {
                yield;
            }
        }
        for (let bucket = 0; bucket < bucketCount; bucket++) {
            if (capacities[bucket]! > 0) {
                const capacity = roundCapacity(capacities[bucket]!);
                capacities[bucket] = capacity;
                addresses[bucket] = allocator.allocate(capacity);
            }
            if (bucket % stepsPerCheck === 0) {
                yield;
            }
        }
        for (let i = 0; i < longCount; i++) {
            const chunk = chunks[Math.floor(i / chunkRecords)]!;
            const [base, word] = [chunk[(i % chunkRecords) * 2]!, chunk[(i % chunkRecords) * 2 + 1]!];
            const bucket = base >>> 16;
            const at = ((addresses[bucket]! & offsetMask) + recordCounts[bucket]!++) * 2;
            const page = pages[addresses[bucket]! >>> pageBits]!;
            page[at] = base;
            page[at + 1] = word;
            if (i % stepsPerCheck === 0) {
                yield;
            }
        }
        size += longCount;
        for (let bucket = 0; bucket < bucketCount; bucket++) {
            if (recordCounts[bucket]! > 0) {
                sortBucket(bucket);
                linkBucket(bucket);
                yield;
            }
        }
    };

    const applyChanges = function* (changes: Iterable<ClientBlockChange>): Generator<void> {
        for (const { block, region } of changes) {
            if (region === undefined) {
                removeBlock(block);
            } else {
                const { base, prefixLength: length } = parseIpv4Block(block);
                setBlock(base, length, getRegionId(region));
            }
            // Changing a bucket with tens of thousands of blocks takes long enough to check the clock each time.
            yield;
        }
    };

    const table: ClientBlockTable = {
        find,
        set: (block, region) => {
            const { base, prefixLength: length } = parseIpv4Block(block);
            setBlock(base, length, getRegionId(region));
        },
        remove: removeBlock,
        applyInSlices: (changes, clock, sliceMs = defaultSliceMs) =>
            runInSlices(applyChanges(changes), clock, sliceMs),
        size: () => size,
        memoryBytes: () =>
            allocator.memoryBytes() +
            3 * addresses.byteLength +
            shortRegions.byteLength +
            shortLengths.byteLength,
    };
    return { table, build };
}
