/** `explain`: tells where a request went, or where a client's requests go, and why. */
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
        "Explain a request by its id, or a client by its IPv4 address; without --entry all entries are asked",
    options: ["logs"],
    example: "explain 10.2.0.17 --entry 10.0.0.7:9300",
    run: async (ctx, subject = "") => {
        if (ctx.options.logs === true) {
            return explainFromLogs(ctx, subject);
        }
        const isClient = parseIpv4(subject) !== undefined;
        const path = `/explain?${isClient ? "client" : "request"}=${encodeURIComponent(subject)}`;
        const targets = await findEntries(ctx, ListenerKind.Operators);
        // A request id starts with the id of the entry that carried it, so that entry is asked first.
        targets.sort((a, b) => Number(subject.startsWith(b.name)) - Number(subject.startsWith(a.name)));
        const found = await askInTurn(ctx, targets, path);
        if (found === undefined) {
            throw new CommandError(
                ExitCode.Refused,
                `no entry has a record of ${subject}`,
                "check the id; an entry keeps only its latest requests, and none after a restart",
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
            `no line tells of request ${requestId}`,
            "give the lines of all instances; a field `suppressed` says how many lines an event has left out",
        );
    }
    ctx.printResult(explanations, () => explanations.map(formatExplanation).join("\n\n"));
    return ExitCode.Ok;
}

/**
 * Returns the first explanation. Entries that do not answer are named on standard error.
 * @throws CommandError when no entry answers
 */
async function askInTurn(
    ctx: CommandContext,
    targets: readonly EntryTarget[],
    path: string,
): Promise<unknown> {
    let failure: CommandError | undefined;
    let answers = 0;
    for (const target of targets) {
        try {
            const answer = await fetchEndpoint(ctx, target, path);
            if (answer.status === 200) {
                return { entry: target.name, explanation: parseBody(answer) };
            }
            answers++;
            if (answer.status !== notFound) {
                ctx.printError(`${target.name}: status ${answer.status}: ${describeBody(answer)}`);
            }
        } catch (err) {
            failure = toCommandError(err);
            if (failure.exitCode !== ExitCode.Unreachable) {
                throw failure;
            }
            ctx.printError(failure.message);
        }
    }
    if (answers === 0 && failure !== undefined) {
        throw failure;
    }
    return undefined;
}
