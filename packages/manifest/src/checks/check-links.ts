/** Checks the links between regions and the caps on shifted traffic. */
import { ProblemCode } from "../problem.js";
import type { LinkSpec, Manifest, ShiftCapSpec } from "../types.js";
import { checkReference, checkUnique, asWarning } from "./check-context.js";
import type { CheckContext } from "./check-context.js";

/** Minimum size of a request on a link: request line, Host header and framing. */
const minRequestBytes = 100;
const bitsPerMegabit = 1_000_000;

interface RegionPair {
    from: string;
    to: string;
}

const getPairName = ({ from, to }: RegionPair) => `${from} to ${to}`;

/** Checks that each ordered pair of regions has one link and that caps do not exceed bandwidth and capacity. */
export function checkLinks(ctx: CheckContext): void {
    checkPairs(ctx, "links", "link", ctx.manifest.links);
    checkPairs(ctx, "shiftCaps", "shift cap", ctx.manifest.shiftCaps);
    checkMissingLinks(ctx);
    checkMissingCaps(ctx);
    ctx.manifest.shiftCaps.forEach((cap, i) => checkCap(ctx, cap, i));
}

function checkPairs(
    ctx: CheckContext,
    list: "links" | "shiftCaps",
    kind: string,
    pairs: readonly RegionPair[],
): void {
    checkUnique(ctx, kind, pairs, getPairName, i => [list, i]);
    pairs.forEach(({ from, to }, i) => {
        checkReference(ctx, "region", from, ctx.regions.keys(), [list, i, "from"]);
        checkReference(ctx, "region", to, ctx.regions.keys(), [list, i, "to"]);
        if (from === to) {
            ctx.report([list, i, "to"], {
                code: ProblemCode.SelfReference,
                message: `the ${kind} connects "${from}" to itself`,
                expected: "two different regions",
                fix: `correct the region or remove the ${kind}`,
            });
        }
    });
}

function checkMissingLinks(ctx: CheckContext): void {
    const present = new Set(ctx.manifest.links.map(getPairName));
    for (const from of ctx.regions.keys()) {
        for (const to of ctx.regions.keys()) {
            if (from !== to && !present.has(getPairName({ from, to }))) {
                ctx.report(["links"], {
                    code: ProblemCode.MissingLink,
                    message: `there is no link from "${from}" to "${to}"`,
                    expected: "a link in each direction between any two regions",
                    fix: `add { "from": "${from}", "to": "${to}", ... } to links`,
                });
            }
        }
    }
}

function checkMissingCaps(ctx: CheckContext): void {
    if (ctx.regions.size < 2) {
        return;
    }
    ctx.manifest.regions.forEach((region, i) => {
        if (!ctx.manifest.shiftCaps.some(cap => cap.from === region.name)) {
            ctx.report(
                ["regions", i, "name"],
                asWarning({
                    code: ProblemCode.NoEffect,
                    message: `no traffic may be shifted away from "${region.name}", so excess requests are rejected`,
                    expected: "a shift cap from each region",
                    fix: `add a shift cap from "${region.name}" to another region`,
                }),
            );
        }
    });
}

function checkCap(ctx: CheckContext, cap: ShiftCapSpec, i: number): void {
    const { from, to, maxRequestsPerSecond, maxIncreasePerSecond } = cap;
    const link = ctx.manifest.links.find(row => row.from === from && row.to === to);
    if (link !== undefined && maxRequestsPerSecond > getMaxRequests(link)) {
        ctx.report(["shiftCaps", i, "maxRequestsPerSecond"], {
            code: ProblemCode.OverCapacity,
            message: `the link from "${from}" to "${to}" cannot carry ${maxRequestsPerSecond} requests per second`,
            expected: `at most ${getMaxRequests(link)}, at ${minRequestBytes} bytes per request`,
            fix: "lower the cap",
        });
    }
    const capacity = getCapacity(ctx.manifest, to);
    if (maxRequestsPerSecond > capacity) {
        ctx.report(
            ["shiftCaps", i, "maxRequestsPerSecond"],
            asWarning({
                code: ProblemCode.NoEffect,
                message: `the cap exceeds the capacity of "${to}", which is ${capacity} requests per second`,
                expected: "a cap within the capacity of all services in the region",
                fix: `lower the cap to at most ${capacity}`,
            }),
        );
    }
    if (maxIncreasePerSecond > maxRequestsPerSecond) {
        ctx.report(
            ["shiftCaps", i, "maxIncreasePerSecond"],
            asWarning({
                code: ProblemCode.NoEffect,
                message:
                    "maxIncreasePerSecond exceeds the cap, so all traffic shifts within the first second",
                expected: `at most ${maxRequestsPerSecond}`,
                fix: "lower maxIncreasePerSecond",
            }),
        );
    }
}

function getMaxRequests(link: LinkSpec): number {
    return Math.floor((link.megabitsPerSecond * bitsPerMegabit) / (8 * minRequestBytes));
}

function getCapacity(manifest: Manifest, region: string): number {
    const sites = new Set(manifest.sites.filter(site => site.region === region).map(site => site.name));
    return manifest.services
        .flatMap(service => service.sites)
        .filter(row => sites.has(row.site))
        .reduce((sum, row) => sum + row.maxRequestsPerSecond, 0);
}
