import assert from "node:assert/strict";
import { test } from "node:test";
import { ChangeEffect, diffManifests } from "@waxwingdale/manifest";
import type { Manifest } from "@waxwingdale/manifest";
import { readExample } from "./fixtures.js";

const startsAt = "2026-05-01T00:00:00Z";
const cases: [string, (manifest: Manifest) => void, string, ChangeEffect][] = [
    [
        "lower capacity",
        m => (m.services[0]!.sites[0]!.servers = 3),
        "services[intake].sites[bagmati-a].servers",
        ChangeEffect.CapacityLowered,
    ],
    [
        "longer warm-up",
        m => (m.services[0]!.backend.warmUpSeconds = 99),
        "services[intake].backend.warmUpSeconds",
        ChangeEffect.CapacityLowered,
    ],
    [
        "site removed from a service",
        m => m.services[1]!.sites.pop(),
        "services[document].sites[koshi-b]",
        ChangeEffect.CapacityLowered,
    ],
    [
        "new drain",
        m => m.drains.push({ place: "koshi", startsAt }),
        `drains[koshi ${startsAt}]`,
        ChangeEffect.DrainAdded,
    ],
    [
        "lower cap",
        m => (m.shiftCaps[0]!.maxRequestsPerSecond = 1),
        "shiftCaps[bagmati gandaki].maxRequestsPerSecond",
        ChangeEffect.ShiftCapLowered,
    ],
    [
        "block moved",
        m => (m.clientBlocks[0]!.region = "koshi"),
        "clientBlocks[10.1.0.0/16].region",
        ChangeEffect.ClientsMoved,
    ],
    ["zone added", m => m.regions[0]!.zones.push("c"), "regions[bagmati].zones[c]", ChangeEffect.PlaceAdded],
    [
        "route changed",
        m => (m.services[0]!.routes[0]!.timeoutMs = 1),
        "services[intake].routes[client-file].timeoutMs",
        ChangeEffect.RouteChanged,
    ],
];

for (const [name, change, path, effect] of cases) {
    test(name, () => {
        const after = readExample();
        change(after);
        const changes = diffManifests(readExample(), after);
        assert.deepEqual(
            changes.map(row => [row.path, row.effect]),
            [[path, effect]],
        );
    });
}

// A pipeline may write arrays in any order, which must not be reported as a change of every item.
test("the order of array items is ignored", () => {
    const after = readExample();
    for (const list of [after.regions, after.links, after.sites, after.services, after.clientBlocks]) {
        list.reverse();
    }
    assert.deepEqual(diffManifests(readExample(), after), []);
});
