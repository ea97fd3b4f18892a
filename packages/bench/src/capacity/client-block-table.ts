/** Cost of the client block table. */
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
    maxMs: number;
}

/** Measures memory, build time, lookups and changes at increasing numbers of blocks. */
export async function measureClientBlockTable(options: BenchOptions): Promise<CapacityTable> {
    const sites = Array.from({ length: siteCount }, (_, i) => `site-${i}`);
    const random = createRandom(options.seed);
    const rows: CapacityRow[] = [];
    for (const size of sizes) {
        const blocks = createSpreadBlocks(size, sites, random);
        rows.push(await measureSize(size.toLocaleString("en-US"), blocks, sites, options.rounds, random));
    }
    const dense = createDenseBlocks(sizes.at(-1)!, sites);
    rows.push(await measureSize("1,700,000 dense", dense, sites, options.rounds, random));
    return { title: "Client block table, 57 sites", sizeName: "blocks", rows };
}

/** Measures a table that is filled by changes, which avoids a second copy of all blocks in memory. */
export async function measureClientBlockTableFill(options: BenchOptions): Promise<CapacityTable> {
    const sites = Array.from({ length: siteCount }, (_, i) => `site-${i}`);
    const random = createRandom(options.seed);
    const clock = createSystemClock();
    const rows: CapacityRow[] = [];
    for (const size of sizes) {
        const blocks = createSpreadBlocks(size, sites, random);
        const figures: CapacityFigure[] = [
            { name: "fill", unit: "ms", samples: [] },
            { name: "max pause", unit: "ms", samples: [] },
            { name: "memory", unit: "MB", samples: [] },
        ];
        for (let round = 0; round < options.rounds; round++) {
            const table = createClientBlockTable([]);
            const { totalMs, maxPauseMs: maxPauseMs } = await measurePause(() =>
                table.applyInSlices(blocks, clock),
            );
            const values = [totalMs, maxPauseMs, table.memoryBytes() / 1e6];
            values.forEach((value, i) => figures[i]!.samples.push(value));
        }
        rows.push({ size: size.toLocaleString("en-US"), figures });
    }
    return { title: "Client block table filled by changes", sizeName: "blocks", rows };
}

async function measureSize(
    size: string,
    blocks: readonly ClientBlockSpec[],
    sites: readonly string[],
    rounds: number,
    random: Random,
): Promise<CapacityRow> {
    const clock = createSystemClock();
    const figures: CapacityFigure[] = [
        { name: "memory", unit: "MB", samples: [] },
        { name: "build", unit: "ms", samples: [] },
        { name: "build in slices", unit: "ms", samples: [] },
        { name: "max pause of the build", unit: "ms", samples: [] },
        { name: "lookups", unit: "million/s", samples: [] },
        { name: "mean change", unit: "µs", samples: [] },
        { name: "max of 3,000 changes", unit: "ms", samples: [] },
        { name: "reassignment of a site", unit: "ms", samples: [] },
        { name: "max pause of the reassignment", unit: "ms", samples: [] },
    ];
    for (let round = 0; round < rounds; round++) {
        let table!: ClientBlockTable;
        const buildMs = timeCall(() => (table = createClientBlockTable(blocks)));
        const sliced = await measurePause(() => createClientBlockTableInSlices(blocks, clock));
        const rate = measureLookups(table, blocks, random);
        const changeCost = measureChanges(table, blocks, sites, random);
        const site = sites[round % sites.length]!;
        const moves = blocks
            .filter(block => block.region === site)
            .map(({ block }, i) => ({ block, region: sites[i % sites.length]! }));
        const reassignment = await measurePause(() => table.applyInSlices(moves, clock));
        const values = [
            table.memoryBytes() / 1e6,
            buildMs,
            sliced.totalMs,
            sliced.maxPauseMs,
            rate / 1e6,
            changeCost.meanMicros,
            changeCost.maxMs,
            reassignment.totalMs,
            reassignment.maxPauseMs,
        ];
        values.forEach((value, i) => figures[i]!.samples.push(value));
    }
    return { size, figures };
}

/** Returns lookups per second; half of the addresses are in known blocks. */
function measureLookups(table: ClientBlockTable, blocks: readonly ClientBlockSpec[], random: Random): number {
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
        throw new Error("lookups missed blocks that the table contains");
    }
    return (lookups * 1000) / ms;
}

/** Removes, re-adds and moves single blocks; the table is unchanged afterwards. */
function measureChanges(
    table: ClientBlockTable,
    blocks: readonly ClientBlockSpec[],
    sites: readonly string[],
    random: Random,
): ChangeCost {
    let total = 0;
    let maxMs = 0;
    for (let i = 0; i < changeCount; i += 3) {
        const { block, region } = blocks[Math.floor(random() * blocks.length)]!;
        const changes = [
            () => void table.remove(block),
            () => table.set(block, sites[i % sites.length]!),
            () => table.set(block, region),
        ];
        for (const change of changes) {
            const start = performance.now();
            change();
            const ms = performance.now() - start;
            total += ms;
            maxMs = Math.max(maxMs, ms);
        }
    }
    return { meanMicros: (total * 1000) / changeCount, maxMs: maxMs };
}
