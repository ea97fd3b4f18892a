/** Semantic checks of a manifest: limits, references between its sections and rules that keep requests safe. */
import * as v from "valibot";
import { createCheckContext } from "./checks/check-context.js";
import { checkClientBlocks } from "./checks/check-client-blocks.js";
import { checkDrains } from "./checks/check-drains.js";
import { checkLimits } from "./checks/check-limits.js";
import { checkLinks } from "./checks/check-links.js";
import { checkPlaces } from "./checks/check-places.js";
import { checkServices } from "./checks/check-services.js";
import { formatPath } from "./json-path.js";
import type { JsonPath } from "./json-path.js";
import { manifestSchema } from "./manifest-schema.js";
import { createDetachedSource } from "./manifest-source.js";
import type { ManifestSource } from "./manifest-source.js";
import type { Finding, Problem } from "./problem.js";
import { describeIssue, getIssuePath } from "./schema-issue.js";
import type { Manifest } from "./types.js";

const checks = [checkPlaces, checkLinks, checkServices, checkDrains, checkClientBlocks, checkLimits];

/**
 * Returns the problems of a manifest. If the types do not match the schema, only schema issues are returned.
 * @param source positions from `parseManifest`; by default, all problems are at line 1, column 1 of "manifest"
 */
export function checkManifest(
    manifest: Manifest,
    source: ManifestSource = createDetachedSource("manifest"),
): Problem[] {
    const problems: Problem[] = [];
    const malformed = new Set<string>();
    const report = (path: JsonPath, finding: Finding) => {
        // The schema has already reported a problem for this value.
        if (!malformed.has(formatPath(path))) {
            problems.push(source.problemAt(path, finding));
        }
    };
    const issues = v.safeParse(manifestSchema, manifest).issues ?? [];
    for (const issue of issues) {
        report(getIssuePath(issue), describeIssue(issue));
    }
    issues.forEach(issue => malformed.add(formatPath(getIssuePath(issue))));
    if (issues.some(issue => issue.kind === "schema")) {
        return problems;
    }
    const ctx = createCheckContext(manifest, report);
    for (const check of checks) {
        check(ctx);
    }
    return problems;
}
