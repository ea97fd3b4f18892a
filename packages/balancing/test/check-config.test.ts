import assert from "node:assert/strict";
import { test } from "node:test";
import { findConfigErrors, findConfigWarnings } from "../src/check-config.js";
import { checkVersion, diffConfigs } from "../src/diff-config.js";
import type { Route, Service, TrafficConfig, Workspace } from "../src/traffic-config.js";
import { RequestKind } from "../src/traffic-config.js";

const route: Route = {
    name: "r",
    host: "files.example",
    pathPrefix: "/a/",
    kind: RequestKind.NonIdempotent,
    timeoutMs: 1500,
    targetLatencyMs: 250,
    priority: 0,
    maxAttempts: 1,
    hasAffinity: false,
    allowedRegions: ["north"],
    shares: [{ service: "s", weight: 1 }],
    isPublic: false,
};
const service: Service = {
    name: "s",
    healthPath: "/",
    maxConnections: 0,
    coldStartMs: 9,
    coldRequestsPerSecond: 1,
};
const workspace: Workspace = {
    name: "w",
    apiKeys: ["key-1"],
    priority: 0,
    requestsPerSecond: 0.2,
    burst: 0,
    allowedRegions: [],
};
const limits = { headerBytes: 65_536, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const config: TrafficConfig = {
    version: 7,
    routes: [route],
    services: [service],
    limits,
    workspaces: [workspace],
};
const withRoute = (change: Partial<Route>) => ({ ...config, routes: [{ ...route, ...change }] });
const withWorkspace = (change: Partial<Workspace>) => ({
    ...config,
    workspaces: [{ ...workspace, ...change }],
});
const withLimit = (change: Partial<typeof limits>) => ({ ...config, limits: { ...limits, ...change } });
const idle = { service: "s", weight: 0 };

// Guards against a check that reports only the first error.
test("reports every unknown service and every shared key", () => {
    const shares = [idle, { service: "x", weight: 1 }, { service: "y", weight: 1 }];
    const other = { ...workspace, name: "v", apiKeys: ["key-2", "key-1"] };
    const errors = findConfigErrors({ ...withRoute({ shares }), workspaces: [workspace, other] });
    assert.deepEqual(
        errors.map(({ path }) => path.join(".")),
        ["routes.r.shares.1", "routes.r.shares.2", "workspaces.v.apiKeys.1"],
    );
    assert.ok(!JSON.stringify(errors).includes("key-1"));
});

const warnings: [string, TrafficConfig, ...string[]][] = [
    ["nothing", config],
    ["a shadowed route", { ...config, routes: [route, { ...route, name: "t" }] }, "routes.t"],
    ["a host with a port", withRoute({ host: "files.example:80" }), "routes.r.host"],
    ["an IPv6 host", withRoute({ host: "[::1]" })],
    ["a wildcard", withRoute({ host: "*.example" }), "routes.r.host"],
    ["a prefix without a first slash", withRoute({ pathPrefix: "a/" }), "routes.r.pathPrefix"],
    ["a prefix without a last slash", withRoute({ pathPrefix: "/a" }), "routes.r.pathPrefix"],
    ["a prefix with a query", withRoute({ pathPrefix: "/a?b/" }), "routes.r.pathPrefix"],
    ["a timeout of 0", withRoute({ timeoutMs: 0, targetLatencyMs: 0 }), "routes.r.timeoutMs"],
    ["a target above the timeout", withRoute({ targetLatencyMs: 1501 }), "routes.r.targetLatencyMs"],
    ["a share of 0", withRoute({ shares: [...route.shares, idle] }), "routes.r.shares.1"],
    ["only shares of 0", withRoute({ shares: [idle] }), "routes.r.shares"],
    ["no share", withRoute({ shares: [] }), "routes.r.shares", "services.s"],
    ["an unused service", { ...config, services: [service, { ...service, name: "old" }] }, "services.old"],
    [
        "a cold limit of 0",
        { ...config, services: [{ ...service, coldRequestsPerSecond: 0 }] },
        "services.s.coldRequestsPerSecond",
    ],
    ["an empty table", { ...config, workspaces: [] }, "workspaces"],
    ["an empty table with public routes", { ...withRoute({ isPublic: true }), workspaces: [] }],
    ["no keys", withWorkspace({ apiKeys: [] }), "workspaces.w.apiKeys"],
    ["a repeated key", withWorkspace({ apiKeys: ["a", "b", "a"] }), "workspaces.w.apiKeys.2"],
    ["a burst without a rate", withWorkspace({ requestsPerSecond: 0, burst: 1 }), "workspaces.w.burst"],
    ["a rate below a request", withWorkspace({ requestsPerSecond: 0.1 }), "workspaces.w.requestsPerSecond"],
    ["a low rate with a burst", withWorkspace({ requestsPerSecond: 0.1, burst: 1 })],
    ["disjoint regions", withWorkspace({ allowedRegions: ["south"] }), "workspaces.w.allowedRegions"],
    ["a common region", withWorkspace({ allowedRegions: ["south", "north"] })],
    ["short headers", withLimit({ headerBytes: 40 }), "limits.headerBytes"],
    ["no body", withLimit({ bodyBytes: 0 }), "limits.bodyBytes"],
    ["no time for headers", withLimit({ headerTimeoutMs: 0 }), "limits.headerTimeoutMs"],
    ["no idle time", withLimit({ idleTimeoutMs: 0 }), "limits.idleTimeoutMs"],
];
for (const [name, checked, ...paths] of warnings) {
    test(`warns of ${name}`, () => {
        const found = findConfigWarnings(checked, { quotaWindowSeconds: 5 });
        assert.deepEqual(
            found.map(({ path }) => path.join(".")),
            paths,
        );
        assert.ok(!JSON.stringify(found).includes("key-1"));
    });
}

test("lists changed fields and counts keys without naming them", () => {
    const before = {
        ...config,
        workspaces: [workspace, { ...workspace, name: "v", apiKeys: ["key-2", "key-3"] }],
    };
    const after = {
        ...withRoute({ timeoutMs: 2000 }),
        services: [{ ...service, name: "new" }],
        limits: { ...limits, bodyBytes: 2 },
        workspaces: [{ ...workspace, burst: 3, apiKeys: ["key-1", "key-2", "key-4"] }],
    };
    const { changes, keyChanges } = diffConfigs(before, after);
    assert.deepEqual(
        changes.map(({ kind, path, before, after }) => [kind, path.join("."), before, after]),
        [
            ["changed", "routes.r.timeoutMs", 1500, 2000],
            ["removed", "services.s", undefined, undefined],
            ["added", "services.new", undefined, undefined],
            ["changed", "workspaces.w.burst", 0, 3],
            ["removed", "workspaces.v", undefined, undefined],
            ["changed", "limits.bodyBytes", 1, 2],
        ],
    );
    assert.deepEqual(keyChanges, [
        { from: "v", to: "w", count: 1 },
        { from: "v", to: undefined, count: 1 },
        { from: undefined, to: "w", count: 1 },
    ]);
    assert.ok(!JSON.stringify([changes, keyChanges]).includes("key-"));
    assert.deepEqual(diffConfigs(config, { ...config, workspaces: undefined }).changes, [
        { kind: "removed", path: ["workspaces"] },
        { kind: "removed", path: ["workspaces", "w"] },
    ]);
});

test("a version that is not higher is an error unless nothing changed", () => {
    const cases = [
        [{ version: 8, workspaces: [] }, undefined],
        [{ version: 7, workspaces: [] }, "version"],
        [{ version: 7 }, undefined],
        [{ version: 6 }, "version"],
    ] as const;
    for (const [change, path] of cases) {
        const after = { ...config, ...change };
        const problem = checkVersion(config, after, diffConfigs(config, after));
        assert.equal(problem?.path[0], path, JSON.stringify(change));
    }
});
