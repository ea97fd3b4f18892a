/** Cost of a lookup, without HTTP. */
import { createRandom, createSystemClock } from "@waxwingdale/core";
import { createLookupDirectory, createClientBlockTable, formatIpv4 } from "@waxwingdale/steering";
import type { BenchOptions } from "../bench-options.js";
import type { CapacityRow, CapacityTable } from "./capacity-table.js";
import { createFleetManifest, createFleetView, createSpreadBlocks } from "./fleet.js";
import { timeCall } from "./timing.js";

const fleets = [
    { entries: 9, regions: 3 },
    { entries: 60, regions: 4 },
    { entries: 180, regions: 6 },
    { entries: 420, regions: 7 },
];
const lookups = 1_000_000;
const coldLookups = 20_000;
const clientCount = 1 << 16;
const blockCount = 100_000;

/** Measures lookups with cached lists, and the first lookups after a change of the view invalidated the cache. */
export function measureLookupDirectory(options: BenchOptions): CapacityTable {
    const rows = fleets.map(({ entries, regions }): CapacityRow => {
        const random = createRandom(options.seed);
        const manifest = createFleetManifest({ regions, zones: regions, sites: regions, services: 2 });
        const view = createFleetView(entries, manifest);
        const accepted = { generation: 1, pushId: "p", formatVersion: 1, manifest };
        const regionNames = manifest.regions.map(region => region.name);
        const table = createClientBlockTable(createSpreadBlocks(blockCount, regionNames, random));
        const directory = createLookupDirectory({
            view,
            clock: createSystemClock(),
            accepted: () => accepted,
            plan: () => undefined,
            table: () => table,
        });
        const clients = Array.from({ length: clientCount }, () => formatIpv4(Math.floor(random() * 2 ** 32)));
        const measureRate = (count: number) => {
            const ms = timeCall(() => {
                for (let i = 0; i < count; i++) {
                    directory.lookup("service-0", clients[i & (clientCount - 1)]);
                }
            });
            return (count * 1000) / ms / 1e6;
        };
        const cold: number[] = [];
        const warm: number[] = [];
        for (let round = 0; round < options.rounds; round++) {
            view.notifyChange();
            cold.push(measureRate(coldLookups));
            warm.push(measureRate(lookups));
        }
        directory.close();
        return {
            size: `${entries} / ${regions}`,
            figures: [
                { name: "cached", unit: "million/s", samples: warm },
                { name: "first 20,000 after a change", unit: "million/s", samples: cold },
            ],
        };
    });
    return { title: "Lookup directory, without HTTP", sizeName: "entries / regions", rows };
}
