/** Checks the links between regions and the caps on shifted traffic. */
import { ProblemCode } from "../problem.js";
import type { LinkSpec, Manifest, ShiftCapSpec } from "../types.js";
import { checkReference, checkUnique, asWarning } from "./check-context.js";
import type { CheckContext } from "./check-context.js";

/** Smallest size of a request on a link: request line, host and framing. */
const minRequestBytes = 100;
const bitsPerMegabit = 1_000_000;

interface Pair {
    from: string;
    to: string;
}

const getPairName = ({ from, to }: Pair) => `${from} to ${to}`;

/** Checks that each ordered pair of regions has one link, and that caps fit links and capacity. */
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
    pairs: readonly Pair[],
): void {
    checkUnique(ctx, kind, pairs, getPairName, i => [list, i]);
    pairs.forEach(({ from, to }, i) => {
        checkReference(ctx, "region", from, ctx.regions.keys(), [list, i, "from"]);
        checkReference(ctx, "region", to, ctx.regions.keys(), [list, i, "to"]);
        if (from === to) {
            ctx.report([list, i, "to"], {
                code: ProblemCode.SelfReference,
                message: `the ${kind} leads from "${from}" to itself`,
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
                    expected: "a link for each direction of each pair of regions",
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
                    message: `no traffic may be shifted away from "${region.name}", so its excess is refused`,
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
            expected: `at most ${getMaxRequests(link)}, with requests of ${minRequestBytes} bytes`,
            fix: "lower the cap",
        });
    }
    const capacity = getCapacity(ctx.manifest, to);
    if (maxRequestsPerSecond > capacity) {
        ctx.report(
            ["shiftCaps", i, "maxRequestsPerSecond"],
            asWarning({
                code: ProblemCode.NoEffect,
                message: `the cap is above the capacity of "${to}", ${capacity} requests per second`,
                expected: "a cap below the capacity of all services in the region",
                fix: `lower the cap to less than ${capacity}`,
            }),
        );
    }
    if (maxIncreasePerSecond > maxRequestsPerSecond) {
        ctx.report(
            ["shiftCaps", i, "maxIncreasePerSecond"],
            asWarning({
                code: ProblemCode.NoEffect,
                message: "the increase is above the cap, so all traffic shifts in the first second",
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
