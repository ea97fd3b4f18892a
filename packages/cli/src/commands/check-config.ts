/** `check-config`: reports every problem of a gateway configuration, and its changes to the one in force. */
import { SettingsError, parseSettingsText } from "@waxwingdale/core";
import { checkConfig, readStoredConfig } from "@waxwingdale/gateway";
import type { ConfigObject, ConfigObjectCheck } from "@waxwingdale/gateway";
import { Severity, formatPath, hasErrors } from "@waxwingdale/manifest";
import * as v from "valibot";
import { checkAddress } from "../address.js";
import type { CommandContext } from "../command-context.js";
import { CommandError } from "../command-error.js";
import type { CommandSpec } from "../command-spec.js";
import { ExitCode } from "../exit-code.js";
import { createManifestError, readTextFile } from "../manifest-file.js";
import { getOptionValue } from "../options.js";
import { formatTable } from "../table.js";

export const checkConfigCommand: CommandSpec = {
    usage: "check-config <file>",
    describe: "Check a gateway configuration and list its changes against the one in force",
    options: ["strict", "against", "platform-store"],
    example: "check-config config.jsonc --platform-store 10.0.0.5:7400",
    run: async (ctx, file = "") => {
        const inForce = await readInForce(ctx);
        const { config, syntaxErrors } = await readConfigFile(ctx, file);
        const check: ConfigObjectCheck =
            syntaxErrors.length === 0
                ? checkConfig(config, inForce?.config)
                : { problems: syntaxErrors.map(toProblem), diff: undefined };
        const problems = check.problems.map(problem => ({ ...problem, path: formatPath(problem.path) }));
        const changes = check.diff?.changes.map(change => ({ ...change, path: formatPath(change.path) }));
        const keyChanges = check.diff?.keyChanges;
        const ok = ctx.options.strict === true ? problems.length === 0 : !hasErrors(problems);
        if (ctx.options.json !== true) {
            problems.forEach(({ severity, path, message }) =>
                ctx.printError(`${file}: ${severity}: ${path}: ${message}`),
            );
        }
        const warnings = problems.filter(({ severity }) => severity === Severity.Warning).length;
        const errors = problems.length - warnings;
        const against = inForce?.name;
        ctx.printResult({ file, ok, errors, warnings, problems, against, changes, keyChanges }, () =>
            [
                `${file}: ${ok ? "ok" : "not ok"}, ${errors} errors, ${warnings} warnings`,
                ...(changes && keyChanges ? formatChanges(against, changes, keyChanges) : []),
            ].join("\n\n"),
        );
        if (!ok && ctx.options.json !== true) {
            throw createManifestError(file, problems);
        }
        return ok ? ExitCode.Ok : ExitCode.ManifestErrors;
    },
};

interface ConfigFile {
    config: ConfigObject;
    syntaxErrors: readonly string[];
}

function formatChanges(
    against: string | undefined,
    changes: readonly object[],
    keyChanges: readonly object[],
): string[] {
    if (changes.length + keyChanges.length === 0) {
        return [`no changes against ${against}`];
    }
    return [
        `changes against ${against}:`,
        ...(changes.length > 0 ? [formatTable(["kind", "path", "before", "after"], changes)] : []),
        ...(keyChanges.length > 0 ? [`keys:\n${formatTable(["from", "to", "count"], keyChanges)}`] : []),
    ];
}

/**
 * Parses a file in JSON with comments.
 * @throws CommandError if the file cannot be read
 */
async function readConfigFile(ctx: CommandContext, path: string): Promise<ConfigFile> {
    const text = await readTextFile(ctx, path);
    try {
        return { config: { spec: parseSettingsText(v.unknown(), text, path) }, syntaxErrors: [] };
    } catch (err) {
        if (!(err instanceof SettingsError)) {
            throw err;
        }
        return { config: { spec: undefined }, syntaxErrors: err.problems };
    }
}

function toProblem(message: string) {
    return { severity: Severity.Error, path: [], message };
}

/** Returns the configuration to compare with, if an option names one. */
async function readInForce(ctx: CommandContext): Promise<{ name: string; config: ConfigObject } | undefined> {
    const against = getOptionValue(ctx.options, "against");
    const address = getOptionValue(ctx.options, "platform-store");
    if (against !== undefined && address !== undefined) {
        throw new CommandError(
            ExitCode.Usage,
            "--against and --platform-store exclude each other",
            "pass one of them",
        );
    }
    if (against !== undefined) {
        const { config, syntaxErrors } = await readConfigFile(ctx, against);
        if (syntaxErrors.length > 0) {
            throw new CommandError(ExitCode.ManifestErrors, syntaxErrors.join("\n"), "correct the syntax");
        }
        return { name: against, config };
    }
    return address === undefined ? undefined : readFromStore(ctx, checkAddress(address, "--platform-store"));
}

async function readFromStore(ctx: CommandContext, address: string) {
    const connected = ctx.connectPlatformStore(address);
    try {
        const config = await readStoredConfig(connected.store);
        if (config === undefined) {
            throw new CommandError(
                ExitCode.Refused,
                `the store at ${address} has no configuration`,
                "omit --platform-store for the first configuration",
            );
        }
        return { name: `the store at ${address}`, config };
    } finally {
        await connected.close();
    }
}
