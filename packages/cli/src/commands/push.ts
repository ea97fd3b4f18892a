/** `push`: makes a manifest file the active manifest. */
import { pushManifest } from "@waxwingdale/manifest";
import { CommandError } from "../command-error.js";
import type { CommandSpec } from "../command-spec.js";
import { ExitCode } from "../exit-code.js";
import { readValidManifest } from "../manifest-file.js";
import { getOptionValue } from "../options.js";
import { formatValue } from "../table.js";

export const pushCommand: CommandSpec = {
    usage: "push <file>",
    describe: "Activate a manifest; --base is required if one is active already",
    options: ["base", "push-id"],
    example: "push release.manifest.jsonc --base 41 --store 10.0.0.5:7400",
    run: async (ctx, file = "") => {
        const base = parseGeneration(getOptionValue(ctx.options, "base"));
        const manifest = await readValidManifest(ctx, file);
        const pushId = getOptionValue(ctx.options, "push-id") ?? ctx.createPushId();
        const accepted = await ctx.withStore(store => pushManifest(store, manifest, base, pushId));
        const result = { generation: accepted.generation, pushId: accepted.pushId };
        ctx.printResult(result, () => formatValue(result));
        return ExitCode.Ok;
    },
};

function parseGeneration(text: string | undefined): number | undefined {
    if (text !== undefined && !/^\d{1,15}$/.test(text)) {
        throw new CommandError(
            ExitCode.Usage,
            `"${text}" is not a generation`,
            "pass --base with the generation that `waxwingdale show` prints",
        );
    }
    return text === undefined ? undefined : Number(text);
}
