/** `trace start`, `trace fetch` and `trace check`: record traces of entries and check them. */
import { getErrorCode } from "@waxwingdale/core";
import { TraceFormatError, checkTrace, parseTrace } from "@waxwingdale/trace";
import type { TraceLine } from "@waxwingdale/trace";
import type { CommandContext } from "../command-context.js";
import { CommandError } from "../command-error.js";
import type { CommandSpec } from "../command-spec.js";
import { ListenerKind, findEntries } from "../entry-directory.js";
import { fetchEndpointOk, parseBody } from "../entry-endpoint.js";
import { ExitCode } from "../exit-code.js";
import { getOptionValue } from "../options.js";
import { formatTable } from "../table.js";

const defaultSeconds = "60";
/** Maximum number of lines per violation in the table; `--json` prints all of them. */
const maxShownLines = 4;

export const traceStartCommand: CommandSpec = {
    usage: "trace start <entry>",
    describe: "Make an entry record a trace for a limited time; its previous trace is discarded",
    options: ["seconds"],
    example: "trace start 10.0.0.7:9300 --seconds 120",
    run: async (ctx, name) => {
        const seconds = getOptionValue(ctx.options, "seconds") ?? defaultSeconds;
        if (!/^[1-9]\d{0,3}$/.test(seconds)) {
            throw new CommandError(
                ExitCode.Usage,
                `"${seconds}" is not a number of seconds`,
                "pass --seconds as a whole number from 1 to 3600",
            );
        }
        const [target] = await findEntries(ctx, ListenerKind.Operators, name);
        const started = parseBody(await fetchEndpointOk(ctx, target!, `/trace?seconds=${seconds}`, "PUT"));
        ctx.printResult(started, () => `${target!.name} is recording for ${seconds} seconds`);
        return ExitCode.Ok;
    },
};

export const traceFetchCommand: CommandSpec = {
    usage: "trace fetch <entry>",
    describe: "Print the trace of an entry, even while it is recording",
    options: ["out"],
    example: "trace fetch 10.0.0.7:9300 --out north-1.jsonl",
    run: async (ctx, name) => {
        const [target] = await findEntries(ctx, ListenerKind.Operators, name);
        const { text } = await fetchEndpointOk(ctx, target!, "/trace");
        const file = getOptionValue(ctx.options, "out");
        if (file === undefined) {
            ctx.print(text.trimEnd());
            return ExitCode.Ok;
        }
        await writeTrace(ctx, file, text);
        const events = text.split("\n").length - 1;
        ctx.printResult({ file, events }, () => `${file}: ${events} events`);
        return ExitCode.Ok;
    },
};

async function writeTrace(ctx: CommandContext, file: string, text: string): Promise<void> {
    try {
        await ctx.writeFile(file, text);
    } catch (err) {
        throw new CommandError(
            ExitCode.Usage,
            `cannot write ${file} (${getErrorCode(err) ?? "error"})`,
            "check the path and its permissions",
        );
    }
}

export const traceCheckCommand: CommandSpec = {
    usage: "trace check <files...>",
    describe: "Replay traces of one or more entries and list every rule that they violate",
    example: "trace check north-1.jsonl north-2.jsonl",
    run: async (ctx, ...files) => {
        const traces = await Promise.all(files.map(file => readTrace(ctx, file ?? "")));
        const lines = traces.flat();
        const violations = checkTrace(lines);
        const dropped = lines.reduce(
            (sum, { event }) => sum + (event.type === "trace" ? event.dropped : 0),
            0,
        );
        ctx.printResult({ files, events: lines.length, dropped, violations }, () => {
            const summary = `${lines.length} events, ${dropped} dropped, ${violations.length} violations`;
            const rows = violations.map(row => ({ ...row, lines: shorten(row.lines) }));
            return rows.length === 0
                ? summary
                : `${formatTable(["rule", "message", "lines"], rows)}\n${summary}`;
        });
        return violations.length === 0 ? ExitCode.Ok : ExitCode.ManifestErrors;
    },
};

function shorten(lines: readonly string[]): string {
    const more = lines.length - maxShownLines;
    return lines.slice(0, maxShownLines).join(" ") + (more > 0 ? ` and ${more} more` : "");
}

async function readTrace(ctx: CommandContext, file: string): Promise<TraceLine[]> {
    try {
        return parseTrace(await ctx.readFile(file), file);
    } catch (err) {
        const what = err instanceof TraceFormatError ? err.message : `cannot read ${file}`;
        const code = err instanceof TraceFormatError ? "" : ` (${getErrorCode(err) ?? "error"})`;
        throw new CommandError(
            ExitCode.Usage,
            `${what}${code}`,
            "pass files that `waxwingdale trace fetch` of this release wrote",
        );
    }
}
