/** Example manifests and generators of manifests. */
import { readFileSync } from "node:fs";
import { RequestClass } from "@waxwingdale/core";
import { readManifest } from "@waxwingdale/manifest";
import type { Manifest } from "@waxwingdale/manifest";
import fc from "fast-check";

export const exampleNames = ["association", "khata"];

export function readExampleText(name: string): string {
    return readFileSync(new URL(`../../../examples/${name}.manifest.jsonc`, import.meta.url), "utf8");
}

/** Returns a copy of an example, which the test may change. */
export function readExample(name = "khata"): Manifest {
    return readManifest(readExampleText(name), name).manifest!;
}

const routes = (isIdempotent: boolean): Manifest["services"][number]["routes"] => [
    {
        name: "read",
        methods: ["GET", "HEAD"],
        path: "/items",
        class: RequestClass.Lookup,
        idempotent: true,
        timeoutMs: 2000,
        maxBodyBytes: 0,
        retryBudget: 0.1,
    },
    {
        name: "write",
        methods: ["POST"],
        path: "/items",
        class: RequestClass.Write,
        idempotent: isIdempotent,
        timeoutMs: 5000,
        maxBodyBytes: 4096,
        retryBudget: 0,
    },
];

/** Generates valid manifests. */
export const validManifest: fc.Arbitrary<Manifest> = fc
    .record({
        regionCount: fc.integer({ min: 1, max: 4 }),
        zoneCount: fc.integer({ min: 1, max: 3 }),
        serviceCount: fc.integer({ min: 1, max: 3 }),
        servers: fc.integer({ min: 1, max: 30 }),
        requests: fc.integer({ min: 1, max: 1000 }),
        megabits: fc.integer({ min: 10, max: 100_000 }),
        reservedShare: fc.double({ min: 0, max: 1, noNaN: true }).map(value => value + 0),
        isIdempotent: fc.boolean(),
        blocks: fc.uniqueArray(fc.integer({ min: 0, max: 255 }), { maxLength: 5 }),
        drainHours: fc.option(fc.integer({ min: 1, max: 23 }), { nil: undefined }),
    })
    .map(shape => {
        const regions = Array.from({ length: shape.regionCount }, (_, i) => ({
            name: `region-${i}`,
            zones: Array.from({ length: shape.zoneCount }, (_, j) => `zone-${j}`),
        }));
        const pairs = regions.flatMap(({ name: from }) =>
            regions.filter(({ name }) => name !== from).map(({ name: to }) => ({ from, to })),
        );
        const sites = regions.flatMap(({ name, zones }) =>
            zones.map(zone => ({ name: `${name}-${zone}`, region: name, zone })),
        );
        const drain = {
            place: sites[0]!.name,
            startsAt: "2026-05-01T00:00:00Z",
            endsAt: `2026-05-01T${String(shape.drainHours).padStart(2, "0")}:00:00Z`,
        };
        return {
            formatVersion: 1,
            deployment: "generated",
            regions,
            storeRegion: "region-0",
            links: pairs.map(pair => ({
                ...pair,
                megabitsPerSecond: shape.megabits,
                oneWayDelayMs: 20,
                reservedShare: shape.reservedShare,
            })),
            sites,
            services: Array.from({ length: shape.serviceCount }, (_, i) => ({
                name: `service-${i}`,
                backend: { slots: 3, maxConnections: 330, warmUpSeconds: 30, coldShare: 0.5 },
                sites: sites.map(({ name }) => ({
                    site: name,
                    servers: shape.servers,
                    maxRequestsPerSecond: shape.requests,
                })),
                routes: routes(shape.isIdempotent),
            })),
            shiftCaps: pairs.map(pair => ({ ...pair, maxRequestsPerSecond: 50, maxIncreasePerSecond: 5 })),
            drains: shape.drainHours === undefined || sites.length === 1 ? [] : [drain],
            clientBlocks: shape.blocks.map(octet => ({ block: `10.${octet}.0.0/16`, region: "region-0" })),
            defaultRegion: "region-0",
            lookup: { ttlSeconds: 5 },
            claims: {
                shards: 8,
                maxWritesPerSecond: 100,
                retentionSeconds: 3600,
                maxOutcomeBytes: 16384,
            },
            quarantine: { crashLimit: 2, quarantineSeconds: 600 },
            shutdown: { maxWaitSeconds: 60 },
        };
    });
