/** `dump`: prints the whole state of an entry. */
import type { CommandSpec } from "../command-spec.js";
import { ListenerKind, findEntries } from "../entry-directory.js";
import { readEndpoint } from "../entry-endpoint.js";
import { ExitCode } from "../exit-code.js";
import { formatValue } from "../table.js";

export const dumpCommand: CommandSpec = {
    usage: "dump [entry]",
    describe: "Print the state of an entry, given by id or by host:port of its operator listener",
    example: "dump 10.0.0.7:9300 --json > dump.json",
    run: async (ctx, name) => {
        const [target] = await findEntries(ctx, ListenerKind.Operators, name);
        const state = await readEndpoint(ctx, target!, "/dump");
        ctx.printResult(state, () => formatValue(state));
        return ExitCode.Ok;
    },
};
