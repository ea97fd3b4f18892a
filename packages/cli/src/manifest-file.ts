/** Reads manifest files for commands. */
import { getErrorCode } from "@waxwingdale/core";
import { formatProblem, hasErrors, readManifest } from "@waxwingdale/manifest";
import type { Manifest, Problem } from "@waxwingdale/manifest";
import { CommandError } from "./command-error.js";
import type { CommandContext } from "./command-context.js";
import { ExitCode } from "./exit-code.js";

export interface ManifestFile {
    manifest: Manifest | undefined;
    problems: Problem[];
}

/**
 * Reads and checks a file.
 * @throws CommandError if the file cannot be read
 */
export async function readManifestFile(ctx: CommandContext, path: string): Promise<ManifestFile> {
    return readManifest(await readTextFile(ctx, path), path);
}

/** @throws CommandError if the file cannot be read */
export async function readTextFile(ctx: CommandContext, path: string): Promise<string> {
    try {
        return await ctx.readFile(path);
    } catch (err) {
        throw new CommandError(
            ExitCode.Usage,
            `cannot read ${path} (${getErrorCode(err) ?? "error"})`,
            "check the path and its permissions",
        );
    }
}

/**
 * Reads a file and prints its problems.
 * @throws CommandError if the file cannot be read or the manifest has errors
 */
export async function readValidManifest(ctx: CommandContext, path: string): Promise<Manifest> {
    const { manifest, problems } = await readManifestFile(ctx, path);
    printProblems(ctx, problems);
    if (manifest === undefined) {
        throw createManifestError(path, problems);
    }
    return manifest;
}

/** Prints each problem as one line on standard error, where build tools collect them. */
export function printProblems(ctx: CommandContext, problems: readonly Problem[]): void {
    for (const problem of problems) {
        ctx.printError(ctx.options.json === true ? JSON.stringify(problem) : formatProblem(problem));
    }
}

/** Creates the error for a manifest or a configuration that is rejected. */
export function createManifestError(
    path: string,
    problems: readonly Pick<Problem, "severity">[],
): CommandError {
    const kind = hasErrors(problems) ? "errors" : "warnings";
    return new CommandError(ExitCode.ManifestErrors, `${path} has ${kind}`, "correct the lines listed above");
}
