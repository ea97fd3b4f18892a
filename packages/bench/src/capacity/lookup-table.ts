/** Cost of the look-up table of client blocks. */
import { performance } from "node:perf_hooks";
import { createRandom, createSystemClock } from "@waxwingdale/core";
import type { Random } from "@waxwingdale/core";
import type { ClientBlockSpec } from "@waxwingdale/manifest";
import { createClientBlockTable, createClientBlockTableInSlices } from "@waxwingdale/steering";
import type { ClientBlockTable } from "@waxwingdale/steering";
import type { BenchOptions } from "../bench-options.js";
import type { CapacityFigure, CapacityRow, CapacityTable } from "./capacity-table.js";
import { createDenseBlocks, createSpreadBlocks } from "./fleet.js";
import { measurePause, timeCall } from "./timing.js";

const sizes = [10_000, 100_000, 500_000, 1_700_000];
const siteCount = 57;
const lookups = 4_000_000;
const addressCount = 1 << 20;
const changeCount = 3000;

interface ChangeCost {
    meanMicros: number;
    longestMs: number;
}

/** Measures memory, build, look-ups and changes at growing numbers of blocks. */
export async function measureLookupTable(options: BenchOptions): Promise<CapacityTable> {
    const places = Array.from({ length: siteCount }, (_, i) => `site-${i}`);
    const random = createRandom(options.seed);
    const rows: CapacityRow[] = [];
    for (const size of sizes) {
        const blocks = createSpreadBlocks(size, places, random);
        rows.push(await measureSize(size.toLocaleString("en-US"), blocks, places, options.rounds, random));
    }
    const dense = createDenseBlocks(sizes.at(-1)!, places);
    rows.push(await measureSize("1,700,000 dense", dense, places, options.rounds, random));
    return { title: "Look-up table of client blocks, 57 sites", sizeName: "blocks", rows };
}

/** Measures a table that is filled by changes, so that its blocks need not be in memory as a list at the same time. */
export async function measureLookupTableFill(options: BenchOptions): Promise<CapacityTable> {
    const places = Array.from({ length: siteCount }, (_, i) => `site-${i}`);
    const random = createRandom(options.seed);
    const clock = createSystemClock();
    const rows: CapacityRow[] = [];
    for (const size of sizes) {
        const blocks = createSpreadBlocks(size, places, random);
        const figures: CapacityFigure[] = [
            { name: "fill", unit: "ms", samples: [] },
            { name: "longest pause", unit: "ms", samples: [] },
            { name: "memory", unit: "MB", samples: [] },
        ];
        for (let round = 0; round < options.rounds; round++) {
            const table = createClientBlockTable([]);
            const { totalMs, longestPauseMs } = await measurePause(() => table.applyInSlices(blocks, clock));
            const values = [totalMs, longestPauseMs, table.memoryBytes() / 1e6];
            values.forEach((value, i) => figures[i]!.samples.push(value));
        }
        rows.push({ size: size.toLocaleString("en-US"), figures });
    }
    return { title: "Look-up table filled by changes", sizeName: "blocks", rows };
}

async function measureSize(
    size: string,
    blocks: readonly ClientBlockSpec[],
    places: readonly string[],
    rounds: number,
    random: Random,
): Promise<CapacityRow> {
    const clock = createSystemClock();
    const figures: CapacityFigure[] = [
        { name: "memory", unit: "MB", samples: [] },
        { name: "build at once", unit: "ms", samples: [] },
        { name: "build in slices", unit: "ms", samples: [] },
        { name: "longest pause of it", unit: "ms", samples: [] },
        { name: "look-ups", unit: "million/s", samples: [] },
        { name: "one change", unit: "µs", samples: [] },
        { name: "longest of 3,000", unit: "ms", samples: [] },
        { name: "reshuffle of a site", unit: "ms", samples: [] },
        { name: "longest pause of it", unit: "ms", samples: [] },
    ];
    for (let round = 0; round < rounds; round++) {
        let table!: ClientBlockTable;
        const buildMs = timeCall(() => (table = createClientBlockTable(blocks)));
        const sliced = await measurePause(() => createClientBlockTableInSlices(blocks, clock));
        const rate = measureFind(table, blocks, random);
        const change = measureChanges(table, blocks, places, random);
        const site = places[round % places.length]!;
        const moves = blocks
            .filter(block => block.region === site)
            .map(({ block }, i) => ({ block, region: places[i % places.length]! }));
        const reshuffle = await measurePause(() => table.applyInSlices(moves, clock));
        const values = [
            table.memoryBytes() / 1e6,
            buildMs,
            sliced.totalMs,
            sliced.longestPauseMs,
            rate / 1e6,
            change.meanMicros,
            change.longestMs,
            reshuffle.totalMs,
            reshuffle.longestPauseMs,
        ];
        values.forEach((value, i) => figures[i]!.samples.push(value));
    }
    return { size, figures };
}

/** Returns look-ups per second, half of them at addresses of known blocks. */
function measureFind(table: ClientBlockTable, blocks: readonly ClientBlockSpec[], random: Random): number {
    const addresses = new Uint32Array(addressCount);
    for (let i = 0; i < addressCount; i++) {
        const { block } = blocks[Math.floor(random() * blocks.length)]!;
        const base = block
            .split("/")[0]!
            .split(".")
            .reduce((sum, part) => sum * 256 + Number(part), 0);
        addresses[i] = i % 2 === 0 ? base : Math.floor(random() * 2 ** 32);
    }
    let found = 0;
    const ms = timeCall(() => {
        for (let i = 0; i < lookups; i++) {
            found += table.find(addresses[i & (addressCount - 1)]!) === undefined ? 0 : 1;
        }
    });
    if (found < lookups / 2) {
        throw new Error("the table does not find blocks that were put into it");
    }
    return (lookups * 1000) / ms;
}

/** Removes, adds and moves single blocks. Each block is back in the table afterwards. */
function measureChanges(
    table: ClientBlockTable,
    blocks: readonly ClientBlockSpec[],
    places: readonly string[],
    random: Random,
): ChangeCost {
    let total = 0;
    let longestMs = 0;
    for (let i = 0; i < changeCount; i += 3) {
        const { block, region } = blocks[Math.floor(random() * blocks.length)]!;
        const changes = [
            () => void table.remove(block),
            () => table.set(block, places[i % places.length]!),
            () => table.set(block, region),
        ];
        for (const change of changes) {
            const start = performance.now();
            change();
            const ms = performance.now() - start;
            total += ms;
            longestMs = Math.max(longestMs, ms);
        }
    }
    return { meanMicros: (total * 1000) / changeCount, longestMs };
}
