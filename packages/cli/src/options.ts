/** Options of the command line. */

interface OptionSpec {
    type: "string" | "boolean";
    /** Name of the value in the help text. */
    value?: string;
    describe: string;
}

export const optionSpecs = {
    json: { type: "boolean", describe: "Print JSON for scripts" },
    store: { type: "string", value: "host:port", describe: "Object store, or WAXWINGDALE_STORE" },
    entry: {
        type: "string",
        value: "host:port",
        describe: "Operator listener of an entry, or WAXWINGDALE_ENTRY",
    },
    caller: {
        type: "string",
        value: "host:port",
        describe: "Caller listener of an entry, or WAXWINGDALE_CALLER",
    },
    "key-file": {
        type: "string",
        value: "path",
        describe: "File with the fleet key, or WAXWINGDALE_FLEET_KEY",
    },
    strict: { type: "boolean", describe: "Treat warnings as errors" },
    base: { type: "string", value: "generation", describe: "Generation that the file was made from" },
    "push-id": { type: "string", value: "id", describe: "Id of an earlier push whose outcome is unknown" },
    against: {
        type: "string",
        value: "file",
        describe: "Compare with a file; default: the manifest in force",
    },
    manifest: { type: "boolean", describe: "Print the manifest in force as JSON, ready to edit" },
    seconds: { type: "string", value: "count", describe: "Length of the recording; default: 60" },
    out: { type: "string", value: "file", describe: "Write the trace to a file; default: standard output" },
    logs: { type: "boolean", describe: "Read log lines of instances from standard input; nothing is asked" },
} satisfies Record<string, OptionSpec>;

export type OptionName = keyof typeof optionSpecs;

/** Values of the options that were given. */
export type OptionValues = Partial<Record<OptionName, string | boolean>>;

/** Options that every command accepts. */
export const globalOptions: readonly OptionName[] = ["json", "store", "entry", "key-file"];

/** Returns the text of an option, or of the environment variable that stands for it. */
export function getOptionValue(
    options: OptionValues,
    name: OptionName,
    env: Record<string, string | undefined> = {},
    variable = "",
): string | undefined {
    const value = options[name] ?? env[variable];
    return typeof value === "string" && value !== "" ? value : undefined;
}
