/** Child processes of the launcher. A server process prints a `listening` line with its address once it is ready. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream } from "node:fs";
import { readFile, readdir, readlink } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { parseFields } from "@waxwingdale/core";

export interface LaunchedProcess {
    name: string;
    child: ChildProcess;
    /** Fields of the `listening` line. */
    fields: Record<string, string>;
    /** Resolves with the exit code, or -1 if a signal terminated the process. */
    exited: Promise<number>;
}

const defaultStartTimeoutMs = 20_000;

/** URL of the `packages` folder. It works from the source of this module and from the bundle of any package. */
const packagesUrl = import.meta.url.slice(0, import.meta.url.lastIndexOf("/packages/") + "/packages/".length);

/** Returns the path of a bundled binary of a package. */
export function findBinary(pkg: string, name: string): string {
    return fileURLToPath(new URL(`${pkg}/dist/${name}.js`, packagesUrl));
}

export interface LaunchOptions {
    name: string;
    binary: string;
    args: string[];
    env?: Record<string, string>;
    logFile: string;
    /**
     * Timeout for the process to start listening, in milliseconds.
     * @default 20000
     */
    startTimeoutMs?: number;
}

/** Starts a process and resolves once it is listening. */
export function launchProcess(options: LaunchOptions): Promise<LaunchedProcess> {
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
        // A child that keeps running would prevent the test process from exiting.
        const handleStartTimeout = async () => {
            log.write(`${options.name} did not listen in ${startTimeoutMs} ms\n`);
            log.write(await describeProcess(child.pid!));
            child.kill("SIGKILL");
            reject(new Error(`${options.name} did not listen in time; see ${options.logFile}`));
        };
        const timer = setTimeout(() => void handleStartTimeout(), startTimeoutMs);
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

/** Returns the state of a process, its threads and open files from `/proc`, to diagnose a hang at startup. */
async function describeProcess(pid: number): Promise<string> {
    const folder = `/proc/${pid}`;
    const read = (path: string) => readFile(path, "utf8").catch((err: unknown) => `${String(err)}\n`);
    const list = (path: string) => readdir(path).catch(() => []);
    const lines = [await read(`${folder}/status`)];
    for (const thread of await list(`${folder}/task`)) {
        const waitChannel = await read(`${folder}/task/${thread}/wchan`);
        const systemCall = await read(`${folder}/task/${thread}/syscall`);
        lines.push(`thread ${thread}: waits in ${waitChannel.trim()}, system call ${systemCall.trim()}\n`);
    }
    for (const fd of await list(`${folder}/fd`)) {
        const target = await readlink(`${folder}/fd/${fd}`).catch((err: unknown) => String(err));
        lines.push(`file ${fd}: ${target}\n`);
    }
    return lines.join("");
}

/** Runs a process until it exits and returns its exit code and output. */
export function runToCompletion(
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
