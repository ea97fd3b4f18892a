import assert from "node:assert/strict";
import { test } from "node:test";
import { Severity, checkManifest, parseManifest } from "@waxwingdale/manifest";
import type { DrainSpec, Manifest } from "@waxwingdale/manifest";
import { readExample, readExampleText } from "./fixtures.js";

function summarize(manifest: Manifest): string[] {
    return checkManifest(manifest).map(
        ({ severity, code, path }) => `${severity === Severity.Warning ? "warning " : ""}${code} ${path}`,
    );
}

const drain = (place: string, hours: string, service?: string): DrainSpec => {
    const [from, to] = hours.split("-");
    const endsAt = to === "" ? undefined : `2026-05-01T${to}:00:00Z`;
    return { place, startsAt: `2026-05-01T${from}:00:00Z`, endsAt, service };
};

const allRegions = ["bagmati", "gandaki", "koshi"];
const uploadPath = "services[1].routes[1]";

/** Name, change of the example, and all expected problems. */
const cases: [string, (manifest: Manifest) => void, string[]][] = [
    ["duplicate region", m => m.regions.push(m.regions[0]!), ["duplicate-name regions[3].name"]],
    ["duplicate zone", m => m.regions[0]!.zones.push("a"), ["duplicate-name regions[0].zones[2]"]],
    [
        "site with the name of a region",
        m => {
            m.sites.push({ name: "koshi", region: "koshi", zone: "a" });
            m.services[0]!.sites.push({ site: "koshi", servers: 1, maxRequestsPerSecond: 1 });
        },
        ["duplicate-name sites[6].name"],
    ],
    ["unknown zone", m => (m.sites[0]!.zone = "c"), ["unknown-name sites[0].zone"]],
    ["unknown site", m => (m.services[0]!.sites[0]!.site = "x"), ["unknown-name services[0].sites[0].site"]],
    [
        "duplicate site of a service",
        m => (m.services[1]!.sites[1]!.site = "bagmati-a"),
        ["duplicate-name services[1].sites[1].site"],
    ],
    ["unknown store region", m => (m.storeRegion = "x"), ["unknown-name storeRegion"]],
    ["unknown default region", m => (m.defaultRegion = "x"), ["unknown-name defaultRegion"]],
    ["missing link", m => m.links.pop(), ["missing-link links"]],
    ["duplicate link", m => m.links.push(m.links[0]!), ["duplicate-name links[6]"]],
    ["link to itself", m => m.links.push({ ...m.links[0]!, to: "bagmati" }), ["self-reference links[6].to"]],
    [
        "cap of zero",
        m => (m.shiftCaps[0]!.maxRequestsPerSecond = 0),
        [
            "out-of-range shiftCaps[0].maxRequestsPerSecond",
            "warning no-effect shiftCaps[0].maxIncreasePerSecond",
        ],
    ],
    [
        "negative site cap",
        m => (m.services[0]!.sites[0]!.maxRequestsPerSecond = -1),
        ["out-of-range services[0].sites[0].maxRequestsPerSecond"],
    ],
    [
        "cap above the bandwidth of the link",
        m => (m.shiftCaps[0]!.maxRequestsPerSecond = 350_001),
        [
            "over-capacity shiftCaps[0].maxRequestsPerSecond",
            "warning no-effect shiftCaps[0].maxRequestsPerSecond",
        ],
    ],
    [
        "cap above the capacity of the region",
        m => (m.shiftCaps[0]!.maxRequestsPerSecond = 2521),
        ["warning no-effect shiftCaps[0].maxRequestsPerSecond"],
    ],
    ["region without a cap", m => m.shiftCaps.splice(0, 2), ["warning no-effect regions[0].name"]],
    [
        "site cap above its slots",
        m => (m.services[0]!.sites[0]!.maxRequestsPerSecond = 12_001),
        ["over-capacity services[0].sites[0].maxRequestsPerSecond"],
    ],
    [
        "more slots than connections",
        m => (m.services[0]!.backend.slots = 331),
        ["over-capacity services[0].backend.slots"],
    ],
    [
        "non-idempotent route with GET",
        m => m.services[0]!.routes[1]!.methods.push("GET"),
        ["unsafe-route services[0].routes[1].methods[1]"],
    ],
    [
        "non-idempotent route with HEAD",
        m => m.services[0]!.routes[1]!.methods.push("HEAD"),
        ["unsafe-route services[0].routes[1].methods[1]"],
    ],
    [
        "non-idempotent route with retries",
        m => (m.services[0]!.routes[1]!.retryBudget = 0.1),
        ["unsafe-route services[0].routes[1].retryBudget"],
    ],
    [
        "routes with the same path and method",
        m => ((m.services[0]!.routes[1]!.path = "/clients/"), m.services[0]!.routes[0]!.methods.push("POST")),
        ["route-conflict services[0].routes[1].path"],
    ],
    [
        "bulk uploads without a body limit",
        m => (m.services[1]!.routes[1]!.maxBodyBytes = 0),
        [`unsafe-limit ${uploadPath}.maxBodyBytes`],
    ],
    [
        "body limit too large for the timeout",
        m => (m.services[1]!.routes[1]!.timeoutMs = 8000),
        [`warning unsafe-limit ${uploadPath}.maxBodyBytes`],
    ],
    [
        "shutdown shorter than the timeout of a route",
        m => (m.shutdown.maxWaitSeconds = 179),
        [
            "warning unsafe-limit services[1].routes[0].timeoutMs",
            `warning unsafe-limit ${uploadPath}.timeoutMs`,
        ],
    ],
    [
        "claims that expire too early",
        m => (m.claims.retentionSeconds = 14),
        ["unsafe-limit claims.retentionSeconds"],
    ],
    [
        "outcome above the object size limit",
        m => (m.claims.maxOutcomeBytes = 800_000),
        ["unsafe-limit claims.maxOutcomeBytes"],
    ],
    [
        "crash limit above the number of servers",
        m => (m.quarantine.crashLimit = 5),
        ["warning unsafe-limit quarantine.crashLimit"],
    ],
    ["drain of an unknown place", m => m.drains.push(drain("x", "01-02")), ["unknown-name drains[0].place"]],
    [
        "drain of an unknown service",
        m => m.drains.push(drain("koshi", "01-02", "x")),
        ["unknown-name drains[0].service"],
    ],
    [
        "drain that ends before it starts",
        m => m.drains.push(drain("koshi", "03-02")),
        ["drain-interval drains[0].endsAt"],
    ],
    [
        "drain on February 30",
        m => m.drains.push({ place: "koshi", startsAt: "2026-02-30T01:00:00Z" }),
        ["bad-format drains[0].startsAt"],
    ],
    [
        "drain without a time zone",
        m => m.drains.push({ place: "koshi", startsAt: "2026-02-03T01:00:00" }),
        ["bad-format drains[0].startsAt"],
    ],
    [
        "all regions drained at the same time",
        m => m.drains.push(...allRegions.map((place, i) => drain(place, `0${i}-`, "intake"))),
        ["drains-everything drains[2]"],
    ],
    [
        "all regions drained one after the other",
        m => m.drains.push(...allRegions.map((place, i) => drain(place, `0${i}-0${i + 1}`))),
        [],
    ],
    [
        "all sites drained at the same time, by drains of sites and regions",
        m =>
            m.drains.push(
                drain("koshi", "05-09"),
                drain("gandaki", "04-06"),
                drain("bagmati-a", "01-"),
                drain("bagmati-b", "05-06"),
            ),
        ["drains-everything drains[3]", "drains-everything drains[3]"],
    ],
    [
        "malformed block",
        m => (m.clientBlocks[0]!.block = "10.1.0.256/16"),
        ["bad-format clientBlocks[0].block"],
    ],
    [
        "block with host bits",
        m => (m.clientBlocks[0]!.block = "10.1.2.0/16"),
        ["host-bits clientBlocks[0].block"],
    ],
    [
        "block assigned to two regions",
        m => (m.clientBlocks[1]!.block = "10.1.0.0/16"),
        ["block-conflict clientBlocks[1].block"],
    ],
    [
        "duplicate block",
        m => m.clientBlocks.push(m.clientBlocks[0]!),
        ["warning no-effect clientBlocks[3].block"],
    ],
    ["nested block", m => m.clientBlocks.push({ block: "10.1.128.0/17", region: "koshi" }), []],
    [
        "block of an unknown region",
        m => (m.clientBlocks[0]!.region = "x"),
        ["unknown-name clientBlocks[0].region"],
    ],
];

for (const [name, change, expected] of cases) {
    test(name, () => {
        const manifest = readExample();
        change(manifest);
        assert.deepEqual(summarize(manifest), expected);
    });
}

test("semantic problems have a position in the file", () => {
    const text = readExampleText("khata").replace(
        '"region": "koshi", "zone": "a"',
        '"region": "kosi", "zone": "a"',
    );
    const { manifest, source } = parseManifest(text, "khata.jsonc");
    const [problem] = checkManifest(manifest!, source);
    assert.deepEqual(
        [problem?.file, problem?.line, problem?.column, problem?.fix],
        ["khata.jsonc", 24, 40, 'did you mean "koshi"?'],
    );
});
