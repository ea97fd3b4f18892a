/** `explain`: shows where a request or the requests of a client are sent, and why. */
import { parseIpv4 } from "@waxwingdale/manifest";
import { CommandError, toCommandError } from "../command-error.js";
import type { CommandContext } from "../command-context.js";
import type { CommandSpec } from "../command-spec.js";
import { ListenerKind, findEntries } from "../entry-directory.js";
import type { EntryTarget } from "../entry-directory.js";
import { fetchEndpoint, describeBody, parseBody } from "../entry-endpoint.js";
import { ExitCode } from "../exit-code.js";
import { explainRequest, formatExplanation } from "../log-explanation.js";
import { formatValue } from "../table.js";

const notFound = 404;

export const explainCommand: CommandSpec = {
    usage: "explain <request-or-client>",
    describe:
        "Explain a request by its id, or a client by its IPv4 address; without --entry, all entries are queried",
    options: ["logs"],
    example: "explain 10.2.0.17 --entry 10.0.0.7:9300",
    run: async (ctx, subject = "") => {
        if (ctx.options.logs === true) {
            return explainFromLogs(ctx, subject);
        }
        const isClient = parseIpv4(subject) !== undefined;
        const path = `/explain?${isClient ? "client" : "request"}=${encodeURIComponent(subject)}`;
        const targets = await findEntries(ctx, ListenerKind.Operators);
        // A request id starts with the id of the entry that handled it, so that entry is queried first.
        targets.sort((a, b) => Number(subject.startsWith(b.name)) - Number(subject.startsWith(a.name)));
        const found = await fetchFirstExplanation(ctx, targets, path);
        if (found === undefined) {
            throw new CommandError(
                ExitCode.Refused,
                `no entry has a record of ${subject}`,
                "check the id; an entry keeps only its latest requests, and loses them on a restart",
            );
        }
        ctx.printResult(found, () => formatValue(found));
        return ExitCode.Ok;
    },
};

async function explainFromLogs(ctx: CommandContext, requestId: string): Promise<ExitCode> {
    const explanations = await explainRequest(requestId, ctx.readLines());
    if (explanations.length === 0) {
        throw new CommandError(
            ExitCode.Refused,
            `no log line is about request ${requestId}`,
            "provide the log lines of all instances; the field `suppressed` counts omitted lines of an event",
        );
    }
    ctx.printResult(explanations, () => explanations.map(formatExplanation).join("\n\n"));
    return ExitCode.Ok;
}

/**
 * Returns the first explanation. Entries that do not respond are reported on standard error.
 * @throws CommandError if no entry responds
 */
async function fetchFirstExplanation(
    ctx: CommandContext,
    targets: readonly EntryTarget[],
    path: string,
): Promise<unknown> {
    let failure: CommandError | undefined;
    let responseCount = 0;
    for (const target of targets) {
        try {
            const response = await fetchEndpoint(ctx, target, path);
            if (response.status === 200) {
                return { entry: target.name, explanation: parseBody(response) };
            }
            responseCount++;
            if (response.status !== notFound) {
                ctx.printError(`${target.name}: status ${response.status}: ${describeBody(response)}`);
            }
        } catch (err) {
            failure = toCommandError(err);
            if (failure.exitCode !== ExitCode.Unreachable) {
                throw failure;
            }
            ctx.printError(failure.message);
        }
    }
    if (responseCount === 0 && failure !== undefined) {
        throw failure;
    }
    return undefined;
}
