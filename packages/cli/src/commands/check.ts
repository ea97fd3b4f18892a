/** `check`: reports every problem of a manifest file. */
import { Severity, hasErrors } from "@waxwingdale/manifest";
import type { CommandSpec } from "../command-spec.js";
import { ExitCode } from "../exit-code.js";
import { createManifestError, printProblems, readManifestFile } from "../manifest-file.js";

export const checkCommand: CommandSpec = {
    usage: "check <file>",
    describe: "Check a manifest file without network access",
    options: ["strict"],
    example: "check release.manifest.jsonc",
    run: async (ctx, file = "") => {
        const { problems } = await readManifestFile(ctx, file);
        const ok = ctx.options.strict === true ? problems.length === 0 : !hasErrors(problems);
        if (ctx.options.json !== true) {
            printProblems(ctx, problems);
        }
        const warnings = problems.filter(({ severity }) => severity === Severity.Warning).length;
        const errors = problems.length - warnings;
        ctx.printResult(
            { file, ok, errors, warnings, problems },
            () => `${file}: ${ok ? "ok" : "not ok"}, ${errors} errors, ${warnings} warnings`,
        );
        if (!ok && ctx.options.json !== true) {
            throw createManifestError(file, problems);
        }
        return ok ? ExitCode.Ok : ExitCode.ManifestErrors;
    },
};
