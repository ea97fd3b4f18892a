/** Runs a command line. */
import { getErrorCode } from "@waxwingdale/core";
import sade from "sade";
import type { Sade } from "sade";
import { checkAddress } from "./address.js";
import { parseArguments } from "./arguments.js";
import { CommandError, toCommandError } from "./command-error.js";
import type { CommandContext, CommandEnvironment } from "./command-context.js";
import type { CommandSpec } from "./command-spec.js";
import { commands } from "./commands/index.js";
import { ExitCode } from "./exit-code.js";
import { getOptionValue, globalOptions, optionSpecs } from "./options.js";
import type { OptionName, OptionValues } from "./options.js";
import { escapeControls } from "./printable.js";

const programName = "waxwingdale";
const programVersion = "0.1.0";
const jsonIndent = 4;

/** Runs the command in `argv`, the arguments after the program's name, and returns the exit code. */
export async function runCli(argv: readonly string[], rawEnvironment: CommandEnvironment): Promise<ExitCode> {
    const environment: CommandEnvironment = {
        ...rawEnvironment,
        print: text => rawEnvironment.print(escapeControls(text, true)),
        printError: text => rawEnvironment.printError(escapeControls(text, true)),
    };
    try {
        const { command, args, options, help, version } = parseArguments(argv, commands);
        let exitCode = ExitCode.Ok;
        const program = createProgram(async spec => {
            exitCode = await spec.run(createContext(environment, options), ...args);
        });
        const meta = [help && "--help", version && "--version"].filter(flag => flag !== false);
        const placeholders = meta.length > 0 ? [] : args.map(() => "-");
        const words = [process.execPath, programName, ...(command === undefined ? [] : command.split(" "))];
        // The arguments are already checked. sade gets placeholders, since it would parse some of them as options.
        const parsed = program.parse([...words, ...meta, "--", ...placeholders], { lazy: true });
        await (parsed?.handler(...parsed.args) as Promise<void> | undefined);
        return exitCode;
    } catch (err) {
        const failure = toCommandError(err);
        printFailure(argv, environment, failure);
        return failure.exitCode;
    }
}

/** Creates the program with its help texts. */
function createProgram(run: (spec: CommandSpec) => Promise<void>): Sade {
    const program = sade(programName).version(programVersion);
    program.describe("Manages the manifest of a Waxwingdale deployment and inspects its entries.");
    addOptions(program, globalOptions);
    for (const spec of commands) {
        program.command(spec.usage, spec.describe).example(spec.example);
        addOptions(program, spec.options ?? []);
        program.action(() => run(spec));
    }
    return program;
}

function addOptions(program: Sade, names: readonly OptionName[]): void {
    for (const name of names) {
        const { describe, ...spec } = optionSpecs[name];
        const value = "value" in spec ? ` (${spec.value})` : "";
        program.option(`--${name}`, `${describe}${value}`);
    }
}

function createContext(environment: CommandEnvironment, options: OptionValues): CommandContext {
    const { env, connectStore, print } = environment;
    return {
        ...environment,
        options,
        withStore: async use => {
            const address = getOptionValue(options, "store", env, "WAXWINGDALE_STORE");
            if (address === undefined) {
                throw new CommandError(
                    ExitCode.Usage,
                    "the address of the store is missing",
                    "pass --store host:port or set WAXWINGDALE_STORE",
                );
            }
            const connected = connectStore(checkAddress(address, "--store"));
            try {
                return await use(connected.store);
            } finally {
                await connected.close();
            }
        },
        readFleetKey: () => readFleetKey(environment, options),
        printResult: (value, format) =>
            print(options.json === true ? JSON.stringify(value, undefined, jsonIndent) : format()),
    };
}

async function readFleetKey(environment: CommandEnvironment, options: OptionValues): Promise<string> {
    const path = getOptionValue(options, "key-file");
    const key =
        path === undefined ? environment.env.WAXWINGDALE_FLEET_KEY : await readKeyFile(environment, path);
    if (key === undefined || key.trim() === "") {
        throw new CommandError(
            ExitCode.Usage,
            "the fleet key is missing",
            "pass --key-file or set WAXWINGDALE_FLEET_KEY",
        );
    }
    return key.trim();
}

async function readKeyFile({ readFile }: CommandEnvironment, path: string): Promise<string> {
    try {
        return await readFile(path);
    } catch (err) {
        throw new CommandError(
            ExitCode.Usage,
            `cannot read the key file ${path} (${getErrorCode(err) ?? "error"})`,
            "check the path and its permissions",
        );
    }
}

function printFailure(
    argv: readonly string[],
    { printError }: CommandEnvironment,
    failure: CommandError,
): void {
    const { message, fix, exitCode } = failure;
    if (argv.includes("--json")) {
        printError(JSON.stringify({ error: message, fix, exitCode }));
        return;
    }
    printError(`${programName}: ${message}\nfix: ${fix}`);
}
