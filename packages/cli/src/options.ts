/** Command-line options. */

interface OptionSpec {
    type: "string" | "boolean";
    /** Name of the value in the help text. */
    value?: string;
    describe: string;
}

export const optionSpecs = {
    json: { type: "boolean", describe: "Print JSON for scripts" },
    store: { type: "string", value: "host:port", describe: "Object store; default: $WAXWINGDALE_STORE" },
    entry: {
        type: "string",
        value: "host:port",
        describe: "Operator listener of an entry; default: $WAXWINGDALE_ENTRY",
    },
    caller: {
        type: "string",
        value: "host:port",
        describe: "Caller listener of an entry; default: $WAXWINGDALE_CALLER",
    },
    "key-file": {
        type: "string",
        value: "path",
        describe: "File with the fleet key; default: the key in $WAXWINGDALE_FLEET_KEY",
    },
    strict: { type: "boolean", describe: "Treat warnings as errors" },
    base: { type: "string", value: "generation", describe: "Generation that the file is based on" },
    "push-id": {
        type: "string",
        value: "id",
        describe: "Id of an earlier push with an unknown outcome, to retry it",
    },
    against: {
        type: "string",
        value: "file",
        describe: "File to compare with; default: the active manifest, or none for check-config",
    },
    "platform-store": {
        type: "string",
        value: "host:port",
        describe: "Store of the gateways' platform; compares with the configuration in it",
    },
    manifest: { type: "boolean", describe: "Print the active manifest as JSON, ready to edit" },
    seconds: { type: "string", value: "count", describe: "Duration of the recording; default: 60" },
    out: { type: "string", value: "file", describe: "Write the trace to a file; default: standard output" },
    logs: {
        type: "boolean",
        describe: "Read log lines of instances from standard input instead of querying entries",
    },
} satisfies Record<string, OptionSpec>;

export type OptionName = keyof typeof optionSpecs;

/** Values of the options on the command line. */
export type OptionValues = Partial<Record<OptionName, string | boolean>>;

/** Options that every command accepts. */
export const globalOptions: readonly OptionName[] = ["json", "store", "entry", "key-file"];

/** Returns the value of an option, or else of its environment variable. */
export function getOptionValue(
    options: OptionValues,
    name: OptionName,
    env: Record<string, string | undefined> = {},
    variable = "",
): string | undefined {
    const value = options[name] ?? env[variable];
    return typeof value === "string" && value !== "" ? value : undefined;
}
