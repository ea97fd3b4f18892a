/** Frame of a case: TROUBLE, the record, and the exit code. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";

const limitMs = 110_000;

/**
 * Runs `play({ hasTrouble, log, onEnd })`, which returns what breaks the rule, one line each. Exits with 1 if there is
 * any, with 0 if there is none, and with 2 if the case could not run.
 */
export async function runCase(importUrl, play) {
    const hasTrouble = process.env.TROUBLE !== "0";
    const startedAt = Date.now();
    const lines = [];
    const cleanups = [];
    const log = text => lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`);
    const finish = async code => {
        for (const cleanup of cleanups.reverse()) {
            await cleanup();
        }
        log(`exit ${code}`);
        writeFileSync(fileURLToPath(new URL("record.txt", importUrl)), `${lines.join("\n")}\n`);
        process.exit(code);
    };
    const timer = setTimeout(() => {
        log("the case took too long");
        void finish(2);
    }, limitMs);
    timer.unref();
    process.on("uncaughtException", err => {
        log(`a stand-in failed: ${err.stack}`);
        void finish(2);
    });
    log(`trouble: ${hasTrouble}`);
    try {
        const broken = await play({ hasTrouble, log, onEnd: cleanup => cleanups.push(cleanup) });
        broken.forEach(text => log(`BROKEN ${text}`));
        log(broken.length === 0 ? "the rule held" : `the rule was broken: ${broken.length}`);
        process.stdout.write(`${lines.at(-1)}\n`);
        await finish(broken.length === 0 ? 0 : 1);
    } catch (err) {
        log(`could not run: ${err.stack}`);
        await finish(2);
    }
}
