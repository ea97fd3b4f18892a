/** Parses the command line into command, arguments and options. Unknown options and extra arguments are errors. */
import { parseArgs } from "node:util";
import { getErrorMessage } from "@waxwingdale/core";
import { CommandError } from "./command-error.js";
import type { CommandSpec } from "./command-spec.js";
import { ExitCode } from "./exit-code.js";
import { globalOptions, optionSpecs } from "./options.js";
import type { OptionName, OptionValues } from "./options.js";

export interface Arguments {
    /** Undefined if only help or the version is requested. */
    command: string | undefined;
    args: string[];
    options: OptionValues;
    help: boolean;
    version: boolean;
}

const metaOptions = {
    help: { type: "boolean", short: "h" },
    version: { type: "boolean", short: "v" },
} as const;

/**
 * Parses the arguments that follow the program name.
 * @throws CommandError if the usage is wrong
 */
export function parseArguments(argv: readonly string[], commands: readonly CommandSpec[]): Arguments {
    const { values, positionals } = parseStrictly(argv);
    const { help = false, version = false, ...options } = values;
    const spec = findCommand(positionals, commands);
    const wordCount = spec === undefined ? 1 : getCommandWords(spec).length;
    const command = positionals.length > 0 ? positionals.slice(0, wordCount).join(" ") : undefined;
    const args = positionals.slice(wordCount);
    if (command !== undefined && spec === undefined) {
        throw createUsageError(`unknown command "${command}"`, "--help");
    }
    if (!help && !version) {
        if (spec === undefined) {
            throw createUsageError("missing command", "--help");
        }
        checkCommand(spec, args, Object.keys(options) as OptionName[]);
    }
    return { command, args, options: options, help, version };
}

/** Returns the words of a command's name, without its arguments. */
export function getCommandWords({ usage }: CommandSpec): string[] {
    return usage.split(/ (?=[<[])/)[0]!.split(" ");
}

function findCommand(words: readonly string[], commands: readonly CommandSpec[]): CommandSpec | undefined {
    return commands.find(spec => getCommandWords(spec).every((word, i) => words[i] === word));
}

function parseStrictly(argv: readonly string[]) {
    try {
        return parseArgs({
            args: [...argv],
            options: { ...optionSpecs, ...metaOptions },
            allowPositionals: true,
            strict: true,
        });
    } catch (err) {
        throw createUsageError(getErrorMessage(err).split(".")[0]!, "--help");
    }
}

function checkCommand(spec: CommandSpec, args: readonly string[], options: readonly OptionName[]): void {
    const words = getCommandWords(spec);
    const name = words.join(" ");
    const placeholders = spec.usage.split(" ").slice(words.length);
    const isVariadic = placeholders.at(-1)?.endsWith("...>") === true;
    const required = placeholders.filter(text => text.startsWith("<"));
    const missing = required[args.length];
    if (missing !== undefined) {
        throw createUsageError(`${name} requires ${missing}`, `${name} --help`);
    }
    if (args.length > placeholders.length && !isVariadic) {
        throw createUsageError(
            `${name} does not accept the argument "${args[placeholders.length]}"`,
            `${name} --help`,
        );
    }
    const allowed = [...globalOptions, ...(spec.options ?? [])];
    const unknown = options.find(option => !allowed.includes(option));
    if (unknown !== undefined) {
        throw createUsageError(`${name} has no option --${unknown}`, `${name} --help`);
    }
}

function createUsageError(message: string, help: string): CommandError {
    return new CommandError(ExitCode.Usage, message, `run \`waxwingdale ${help}\``);
}
