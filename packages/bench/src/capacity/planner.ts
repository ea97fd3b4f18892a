/** Cost of a planning step of the traffic planner. */
import { createRandom } from "@waxwingdale/core";
import type { Random } from "@waxwingdale/core";
import type { Manifest } from "@waxwingdale/manifest";
import { planTraffic } from "@waxwingdale/steering";
import type { Plan, PlanInput } from "@waxwingdale/steering";
import type { BenchOptions } from "../bench-options.js";
import type { CapacityRow, CapacityTable } from "./capacity-table.js";
import { createFleetManifest } from "./fleet.js";
import type { FleetSize } from "./fleet.js";
import { timeCall } from "./timing.js";

const sizes: FleetSize[] = [
    { regions: 3, zones: 6, sites: 6, services: 2 },
    { regions: 4, zones: 8, sites: 16, services: 2 },
    { regions: 5, zones: 12, sites: 30, services: 4 },
    { regions: 7, zones: 19, sites: 57, services: 4 },
    { regions: 7, zones: 19, sites: 57, services: 16 },
];
const steps = 200;

/** Measures planning steps with one dead region, every third region overloaded, and varying demand. */
export function measurePlanner(options: BenchOptions): CapacityTable {
    const random = createRandom(options.seed);
    const rows = sizes.map(size => measureSize(size, options.rounds, random));
    return {
        title: `Traffic planner, mean of ${steps} steps`,
        sizeName: "regions / zones / sites / services",
        rows,
    };
}

function measureSize(size: FleetSize, rounds: number, random: Random): CapacityRow {
    const manifest = createFleetManifest(size);
    const stepMs: number[] = [];
    const planBytes: number[] = [];
    for (let round = 0; round < rounds; round++) {
        let previous: Plan | undefined;
        const inputs = Array.from({ length: steps }, () => createInput(manifest, random));
        const ms = timeCall(() => {
            for (const input of inputs) {
                previous = planTraffic({ ...input, previous });
            }
        });
        stepMs.push(ms / steps);
        planBytes.push(JSON.stringify(previous).length);
    }
    return {
        size: `${size.regions} / ${size.zones} / ${size.sites} / ${size.services}`,
        figures: [
            { name: "step", unit: "ms", samples: stepMs },
            { name: "plan object", unit: "bytes", samples: planBytes },
        ],
    };
}

function createInput(manifest: Manifest, random: Random): PlanInput {
    return {
        manifest,
        demands: manifest.services.flatMap(service =>
            manifest.regions.map((region, i) => ({
                service: service.name,
                home: region.name,
                offeredPerSecond: (i % 3 === 0 ? 6000 : 1500) * (0.9 + random() * 0.2),
                requestBytes: 800,
                responseBytes: 6000,
                ageMs: 500,
            })),
        ),
        capacities: manifest.services.flatMap(service =>
            service.sites.map(({ site }) => ({
                service: service.name,
                site,
                warmServers: 11,
                coldServers: 1,
                meanServiceMs: 25,
                ageMs: 500,
            })),
        ),
        deadRegions: new Set([manifest.regions.at(-1)!.name]),
        previous: undefined,
        wallTime: Date.parse("2026-02-01T00:00:00Z"),
        secondsSincePrevious: 1,
    };
}
