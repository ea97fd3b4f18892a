/** Runs a case: keeps its record, and ends what it started. */
import { performance } from "node:perf_hooks";
import { writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";

/** Longest time in milliseconds that a case may run. */
const limitMs = 110_000;

export const hasTrouble = process.env.TROUBLE !== "0";

/** Exit codes. `run.sh` turns that of a broken rule into 1, so that an error of Node, which is 1, is none. */
const exitCodes = { held: 0, notRun: 2, broken: 3 };

export async function runCase(folder, play) {
    const startedAt = performance.now();
    const lines = [];
    const cleanUps = [];
    const record = (event, fields = {}) =>
        lines.push(
            `${((performance.now() - startedAt) / 1000).toFixed(3)} ${event} ${JSON.stringify(fields)}`,
        );
    const onEnd = cleanUp => cleanUps.push(cleanUp);
    let code = exitCodes.notRun;
    try {
        const timeout = sleep(limitMs, undefined, { ref: false }).then(() => {
            throw new Error("the case took too long");
        });
        const { isBroken, summary } = await Promise.race([play({ record, onEnd }), timeout]);
        code = isBroken ? exitCodes.broken : exitCodes.held;
        record(isBroken ? "rule broken" : "rule held", summary);
    } catch (err) {
        record("could not run", { error: String(err.stack ?? err) });
    }
    for (const cleanUp of cleanUps.reverse()) {
        await cleanUp();
    }
    lines.unshift(`trouble: ${hasTrouble ? "yes" : "no"}`);
    writeFileSync(new URL("record.txt", folder), `${lines.join("\n")}\n`);
    process.stdout.write(`${lines.at(-1)}\n`);
    process.exit(code);
}
