/** Context and helpers of the semantic checks. */
import type { JsonPath } from "../json-path.js";
import { ProblemCode, Severity } from "../problem.js";
import type { Finding, Report } from "../problem.js";
import { suggestName } from "../suggestion.js";
import type { Manifest, RegionSpec, SiteSpec } from "../types.js";

export interface CheckContext {
    manifest: Manifest;
    regions: ReadonlyMap<string, RegionSpec>;
    sites: ReadonlyMap<string, SiteSpec>;
    report: Report;
}

export function createCheckContext(manifest: Manifest, report: Report): CheckContext {
    return {
        manifest,
        regions: new Map(manifest.regions.map(region => [region.name, region])),
        sites: new Map(manifest.sites.map(site => [site.name, site])),
        report,
    };
}

/** Reports a reference to an undeclared name. Returns whether the name is declared. */
export function checkReference(
    ctx: CheckContext,
    kind: string,
    name: string,
    known: Iterable<string>,
    path: JsonPath,
): boolean {
    const names = [...known];
    if (names.includes(name)) {
        return true;
    }
    const similar = suggestName(name, names);
    ctx.report(path, {
        code: ProblemCode.UnknownName,
        message: `unknown ${kind} "${name}"`,
        expected: names.length === 0 ? `a declared ${kind}` : `one of ${names.join(", ")}`,
        fix: similar === undefined ? `declare the ${kind} or correct the name` : `did you mean "${similar}"?`,
    });
    return false;
}

/** Reports each item whose key is the same as that of an earlier item. */
export function checkUnique<T>(
    ctx: CheckContext,
    kind: string,
    items: readonly T[],
    getKey: (item: T) => string,
    getPath: (index: number) => JsonPath,
): void {
    const seen = new Set<string>();
    items.forEach((item, i) => {
        const key = getKey(item);
        if (seen.has(key)) {
            ctx.report(getPath(i), {
                code: ProblemCode.DuplicateName,
                message: `duplicate ${kind} "${key}"`,
                expected: `each ${kind} once`,
                fix: "rename or remove one of them",
            });
        }
        seen.add(key);
    });
}

/** Returns the finding with the severity of a warning. */
export function asWarning(finding: Finding): Finding {
    return { ...finding, severity: Severity.Warning };
}
