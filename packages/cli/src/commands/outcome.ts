/** `outcome`: reports the outcome of the request with an idempotency key. */
import { Outcome } from "@waxwingdale/core";
import { CommandError } from "../command-error.js";
import type { CommandSpec } from "../command-spec.js";
import { ListenerKind, findEntries } from "../entry-directory.js";
import { describeBody, parseBody } from "../entry-endpoint.js";
import { ExitCode } from "../exit-code.js";
import { formatValue } from "../table.js";

export const outcomeCommand: CommandSpec = {
    usage: "outcome <service> <key>",
    describe:
        "Report whether the request with an idempotency key ran; queries the caller listener of an entry",
    options: ["caller"],
    example: "outcome register cert-2026-0042 --caller 10.0.0.7:8080",
    run: async (ctx, service = "", key = "") => {
        const [target] = await findEntries(ctx, ListenerKind.Callers);
        const path = `/v1/outcomes/${encodeURIComponent(service)}/${encodeURIComponent(key)}`;
        const response = await ctx.fetchFromEntry(target!.address, path, undefined);
        if (response.status !== 200) {
            throw new CommandError(
                ExitCode.Refused,
                `${target!.name} responded with status ${response.status}: ${describeBody(response)}`,
                "retry, or query an entry in the region of the store",
            );
        }
        const body = parseBody(response);
        ctx.printResult(body, () => formatValue(body));
        const outcome = response.outcome ?? (body as { outcome?: unknown } | undefined)?.outcome;
        return outcome === Outcome.Unknown ? ExitCode.OutcomeUnknown : ExitCode.Ok;
    },
};
