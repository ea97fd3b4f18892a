/** Checks regions, availability zones and sites. */
import { ProblemCode } from "../problem.js";
import { checkReference, checkUnique, asWarning } from "./check-context.js";
import type { CheckContext } from "./check-context.js";

/** Checks that names are unique and that references between places are valid. */
export function checkPlaces(ctx: CheckContext): void {
    const { manifest } = ctx;
    checkUnique(
        ctx,
        "region",
        manifest.regions,
        region => region.name,
        i => ["regions", i, "name"],
    );
    checkUnique(
        ctx,
        "site",
        manifest.sites,
        site => site.name,
        i => ["sites", i, "name"],
    );
    manifest.regions.forEach((region, i) => {
        checkUnique(
            ctx,
            "zone",
            region.zones,
            zone => zone,
            j => ["regions", i, "zones", j],
        );
    });
    checkReference(ctx, "region", manifest.storeRegion, ctx.regions.keys(), ["storeRegion"]);
    checkReference(ctx, "region", manifest.defaultRegion, ctx.regions.keys(), ["defaultRegion"]);
    checkSites(ctx);
    checkEmptyRegions(ctx);
}

function checkSites(ctx: CheckContext): void {
    ctx.manifest.sites.forEach((site, i) => {
        if (ctx.regions.has(site.name)) {
            ctx.report(["sites", i, "name"], {
                code: ProblemCode.DuplicateName,
                message: `the site "${site.name}" has the same name as a region`,
                expected: "a name that is not a region, since a drain may name either",
                fix: "rename the site",
            });
        }
        if (checkReference(ctx, "region", site.region, ctx.regions.keys(), ["sites", i, "region"])) {
            checkReference(ctx, "zone", site.zone, ctx.regions.get(site.region)!.zones, ["sites", i, "zone"]);
        }
        const isUsed = ctx.manifest.services.some(service =>
            service.sites.some(row => row.site === site.name),
        );
        if (!isUsed) {
            ctx.report(
                ["sites", i, "name"],
                asWarning({
                    code: ProblemCode.NoEffect,
                    message: `no service runs at the site "${site.name}"`,
                    expected: "a service at each site",
                    fix: "add the site to a service or remove it",
                }),
            );
        }
    });
}

function checkEmptyRegions(ctx: CheckContext): void {
    ctx.manifest.regions.forEach((region, i) => {
        if (!ctx.manifest.sites.some(site => site.region === region.name)) {
            ctx.report(
                ["regions", i, "name"],
                asWarning({
                    code: ProblemCode.NoEffect,
                    message: `the region "${region.name}" has no site`,
                    expected: "a site in each region",
                    fix: "add a site or remove the region",
                }),
            );
        }
    });
}
