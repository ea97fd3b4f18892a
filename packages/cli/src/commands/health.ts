/** `health`: reports which entries are alive and ready. */
import type { CommandContext } from "../command-context.js";
import { toCommandError } from "../command-error.js";
import type { CommandSpec } from "../command-spec.js";
import { ListenerKind, findEntries } from "../entry-directory.js";
import type { EntryTarget } from "../entry-directory.js";
import { fetchEndpoint, parseBody } from "../entry-endpoint.js";
import { ExitCode } from "../exit-code.js";
import { formatTable } from "../table.js";

interface HealthRow {
    entry: string;
    address: string;
    healthy: boolean;
    ready: boolean;
    reason?: string;
}

export const healthCommand: CommandSpec = {
    usage: "health [entry]",
    describe: "Report whether an entry, or each entry with a record in the store, is alive and ready",
    example: "health --store 10.0.0.5:7400",
    run: async (ctx, name) => {
        const targets = await findEntries(ctx, ListenerKind.Operators, name);
        const rows = await Promise.all(targets.map(target => readHealth(ctx, target)));
        ctx.printResult(rows, () => formatTable(["entry", "address", "healthy", "ready", "reason"], rows));
        if (rows.every(row => row.healthy && row.ready)) {
            return ExitCode.Ok;
        }
        return rows.some(row => !row.healthy) ? ExitCode.Unreachable : ExitCode.Refused;
    },
};

async function readHealth(ctx: CommandContext, target: EntryTarget): Promise<HealthRow> {
    const row = { entry: target.name, address: target.address };
    try {
        const health = await fetchEndpoint(ctx, target, "/health");
        const ready = await fetchEndpoint(ctx, target, "/ready");
        const { reason } = (parseBody(ready) ?? {}) as { reason?: string };
        return { ...row, healthy: health.status === 200, ready: ready.status === 200, reason };
    } catch (err) {
        const failure = toCommandError(err);
        if (failure.exitCode !== ExitCode.Unreachable) {
            throw failure;
        }
        return { ...row, healthy: false, ready: false, reason: failure.message };
    }
}
