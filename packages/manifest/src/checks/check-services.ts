/** Checks services: their sites, capacity and routes. */
import type { JsonPath } from "../json-path.js";
import { ProblemCode } from "../problem.js";
import type { ServiceSpec } from "../types.js";
import { checkReference, checkUnique, asWarning } from "./check-context.js";
import type { CheckContext } from "./check-context.js";
import { checkRoutes } from "./check-routes.js";

/** Minimum time a request occupies a slot: a request that only opens a connection takes about 1 ms. */
const minServiceTimeMs = 1;

export function checkServices(ctx: CheckContext): void {
    const { services } = ctx.manifest;
    checkUnique(
        ctx,
        "service",
        services,
        service => service.name,
        i => ["services", i, "name"],
    );
    services.forEach((service, i) => {
        checkServiceSites(ctx, service, ["services", i]);
        checkBackend(ctx, service, ["services", i]);
        checkRoutes(ctx, service, ["services", i, "routes"]);
    });
}

function checkServiceSites(ctx: CheckContext, service: ServiceSpec, path: JsonPath): void {
    checkUnique(
        ctx,
        "site",
        service.sites,
        row => row.site,
        i => [...path, "sites", i, "site"],
    );
    service.sites.forEach((row, i) => {
        checkReference(ctx, "site", row.site, ctx.sites.keys(), [...path, "sites", i, "site"]);
        const limit = (row.servers * service.backend.slots * 1000) / minServiceTimeMs;
        if (row.maxRequestsPerSecond > limit) {
            ctx.report([...path, "sites", i, "maxRequestsPerSecond"], {
                code: ProblemCode.OverCapacity,
                message: `${row.servers} servers with ${service.backend.slots} slots cannot handle ${row.maxRequestsPerSecond} requests per second`,
                expected: `at most ${limit}, at ${minServiceTimeMs} ms per request`,
                fix: "lower maxRequestsPerSecond or add servers",
            });
        }
    });
}

function checkBackend(ctx: CheckContext, service: ServiceSpec, path: JsonPath): void {
    const { slots, maxConnections } = service.backend;
    if (slots > maxConnections) {
        ctx.report([...path, "backend", "slots"], {
            code: ProblemCode.OverCapacity,
            message: `${slots} slots need more than ${maxConnections} connections`,
            expected:
                "at most as many slots as connections, since each active request has its own connection",
            fix: "lower slots or raise maxConnections",
        });
    }
    const maxServers = Math.max(...getServersByRegion(ctx, service).values());
    if (ctx.manifest.quarantine.crashLimit > maxServers) {
        ctx.report(
            ["quarantine", "crashLimit"],
            asWarning({
                code: ProblemCode.UnsafeLimit,
                message: `a request may crash all servers of "${service.name}" in a region before it is quarantined`,
                expected: `at most ${maxServers}, the number of servers in the largest region of the service`,
                fix: "lower crashLimit",
            }),
        );
    }
}

function getServersByRegion(ctx: CheckContext, service: ServiceSpec): Map<string, number> {
    const servers = new Map<string, number>();
    for (const row of service.sites) {
        const region = ctx.sites.get(row.site)?.region ?? "";
        servers.set(region, (servers.get(region) ?? 0) + row.servers);
    }
    return servers;
}
