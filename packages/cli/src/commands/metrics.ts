/** `metrics`: prints the metrics of an entry. */
import type { CommandSpec } from "../command-spec.js";
import { ListenerKind, findEntries } from "../entry-directory.js";
import { readEndpoint } from "../entry-endpoint.js";
import { ExitCode } from "../exit-code.js";

export const metricsCommand: CommandSpec = {
    usage: "metrics [entry]",
    describe: "Print the metrics of an entry in the Prometheus text format",
    example: "metrics 10.0.0.7:9300",
    run: async (ctx, name) => {
        const [target] = await findEntries(ctx, ListenerKind.Operators, name);
        ctx.print(String(await readEndpoint(ctx, target!, "/metrics")).trimEnd());
        return ExitCode.Ok;
    },
};
