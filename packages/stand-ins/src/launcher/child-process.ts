/** Child processes of the launcher: each prints a line with its address when it listens. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream } from "node:fs";
import { readFile, readdir, readlink } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { parseFields } from "@waxwingdale/core";

export interface LaunchedProcess {
    name: string;
    child: ChildProcess;
    /** Fields of the line that the process prints when it listens. */
    fields: Record<string, string>;
    /** Resolves with the exit code, or -1 after a signal. */
    exited: Promise<number>;
}

const defaultStartTimeoutMs = 20_000;

/** URL of the folder `packages`, whether this module runs from its source or from the bundle of any package. */
const packagesUrl = import.meta.url.slice(0, import.meta.url.lastIndexOf("/packages/") + "/packages/".length);

/** Path of the bundled binary of a package. */
export function findBinary(pkg: string, name: string): string {
    return fileURLToPath(new URL(`${pkg}/dist/${name}.js`, packagesUrl));
}

export interface LaunchOptions {
    name: string;
    binary: string;
    args: string[];
    env?: Record<string, string>;
    logFile: string;
    /** Time in milliseconds for the process to listen. @default 20000 */
    startTimeoutMs?: number;
}

/** Starts a process and resolves when it listens. */
export function launch(options: LaunchOptions): Promise<LaunchedProcess> {
    const env = { ...process.env, ...options.env };
    const startTimeoutMs = options.startTimeoutMs ?? defaultStartTimeoutMs;
    const child = spawn(process.execPath, [options.binary, ...options.args], {
        env,
        stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(options.logFile);
    child.stderr.pipe(log, { end: false });
    const exited = new Promise<number>(resolve => child.once("exit", code => resolve(code ?? -1)));
    return new Promise((resolve, reject) => {
        // A child that is left running would keep the test file's process alive for ever.
        const giveUp = async () => {
            log.write(`${options.name} did not listen in ${startTimeoutMs} ms\n`);
            log.write(await describeProcess(child.pid!));
            child.kill("SIGKILL");
            reject(new Error(`${options.name} did not listen in time; see ${options.logFile}`));
        };
        const timer = setTimeout(() => void giveUp(), startTimeoutMs);
        void exited.then(code => {
            clearTimeout(timer);
            reject(new Error(`${options.name} exited with ${code}; see ${options.logFile}`));
        });
        let text = "";
        child.stdout.on("data", (chunk: Buffer) => {
            log.write(chunk);
            if (text === "done") {
                return;
            }
            text += chunk.toString();
            const line = text
                .split("\n")
                .slice(0, -1)
                .find(item => item.includes("event=listening"));
            if (line !== undefined) {
                text = "done";
                clearTimeout(timer);
                resolve({ name: options.name, child, fields: parseFields(line), exited });
            }
        });
    });
}

/** State of a process, its threads and its open files as Linux shows them, to find what a hung start waits for. */
async function describeProcess(pid: number): Promise<string> {
    const folder = `/proc/${pid}`;
    const read = (path: string) => readFile(path, "utf8").catch((err: unknown) => `${String(err)}\n`);
    const list = (path: string) => readdir(path).catch(() => []);
    const lines = [await read(`${folder}/status`)];
    for (const thread of await list(`${folder}/task`)) {
        const wait = await read(`${folder}/task/${thread}/wchan`);
        const call = await read(`${folder}/task/${thread}/syscall`);
        lines.push(`thread ${thread}: waits in ${wait.trim()}, system call ${call.trim()}\n`);
    }
    for (const fd of await list(`${folder}/fd`)) {
        const target = await readlink(`${folder}/fd/${fd}`).catch((err: unknown) => String(err));
        lines.push(`file ${fd}: ${target}\n`);
    }
    return lines.join("");
}

/** Runs a process to its end and returns its exit code and output. */
export function runToEnd(
    binary: string,
    args: string[],
    env: Record<string, string> = {},
): Promise<{ code: number; stdout: string; stderr: string }> {
    const child = spawn(process.execPath, [binary, ...args], {
        env: { ...process.env, ...env },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const out: Buffer[] = [];
    const err: Buffer[] = [];
    child.stdout.on("data", (chunk: Buffer) => out.push(chunk));
    child.stderr.on("data", (chunk: Buffer) => err.push(chunk));
    return new Promise(resolve => {
        child.once("close", code =>
            resolve({
                code: code ?? -1,
                stdout: Buffer.concat(out).toString(),
                stderr: Buffer.concat(err).toString(),
            }),
        );
    });
}
