/** `diff`: lists the changes in a manifest file. */
import { diffManifests } from "@waxwingdale/manifest";
import type { CommandSpec } from "../command-spec.js";
import { ExitCode } from "../exit-code.js";
import { requireActiveManifest } from "../active-manifest.js";
import { readValidManifest } from "../manifest-file.js";
import { getOptionValue } from "../options.js";
import { formatTable } from "../table.js";

export const diffCommand: CommandSpec = {
    usage: "diff <file>",
    describe: "List the changes in a manifest file against the active manifest or another file",
    options: ["against"],
    example: "diff release.manifest.jsonc --store 10.0.0.5:7400",
    run: async (ctx, file = "") => {
        const after = await readValidManifest(ctx, file);
        const against = getOptionValue(ctx.options, "against");
        const accepted = against === undefined ? await ctx.withStore(requireActiveManifest) : undefined;
        const before = accepted?.manifest ?? (await readValidManifest(ctx, against ?? ""));
        const changes = diffManifests(before, after);
        const name = accepted === undefined ? against : `generation ${accepted.generation}`;
        ctx.printResult({ against: name, generation: accepted?.generation, changes }, () =>
            changes.length === 0
                ? `no changes against ${name}`
                : formatTable(
                      ["kind", "path", "before", "after", "effect", "description"],
                      changes.map(toRow),
                  ),
        );
        return ExitCode.Ok;
    },
};

/** Replaces whole items, which are too long for a table cell. */
function toRow(change: ReturnType<typeof diffManifests>[number]): Record<string, unknown> {
    const shorten = (value: unknown) => (typeof value === "object" ? "(item)" : value);
    return { ...change, before: shorten(change.before), after: shorten(change.after) };
}
