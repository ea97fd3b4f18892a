/** Guards against a child process that never listens and blocks the test run. */
import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { launchProcess } from "@waxwingdale/stand-ins";

/** Program that writes its process id to a file and never listens. */
const idleProgram = `
require("node:fs").writeFileSync(process.argv[2], String(process.pid));
setInterval(() => {}, 1000);
`;

const isAlive = (pid: number) => {
    try {
        process.kill(pid, 0);
        return true;
    } catch {
        return false;
    }
};

test("a process that does not listen before the timeout is killed and its state is logged", async t => {
    const folder = await mkdtemp(join(tmpdir(), "launch-"));
    t.after(() => rm(folder, { recursive: true, force: true }));
    const binary = join(folder, "silent.cjs");
    const pidFile = join(folder, "pid");
    const logFile = join(folder, "silent.log");
    await writeFile(binary, idleProgram);
    const launched = launchProcess({
        name: "silent",
        binary,
        args: [pidFile],
        logFile,
        startTimeoutMs: 1500,
    });
    await assert.rejects(launched, /silent did not listen in time/);
    const pid = Number(await readFile(pidFile, "utf8"));
    for (let i = 0; i < 50 && isAlive(pid); i++) {
        await new Promise(resolve => setTimeout(resolve, 100));
    }
    assert.ok(!isAlive(pid), `process ${pid} is still running`);
    const log = await readFile(logFile, "utf8");
    assert.match(log, /silent did not listen in 1500 ms/);
    assert.match(log, /thread \d+: waits in/);
});
