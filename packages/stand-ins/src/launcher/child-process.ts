/** Child processes of the launcher: each prints a line with its address when it listens. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream } from "node:fs";
import { fileURLToPath } from "node:url";

export interface LaunchedProcess {
    name: string;
    child: ChildProcess;
    /** Fields of the line that the process prints when it listens. */
    fields: Record<string, string>;
    /** Resolves with the exit code, or -1 after a signal. */
    exited: Promise<number>;
}

/** Time in milliseconds for a process to listen. */
const startTimeoutMs = 20_000;

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
}

/** Starts a process and resolves when it listens. */
export function launch(options: LaunchOptions): Promise<LaunchedProcess> {
    const env = { ...process.env, ...options.env };
    const child = spawn(process.execPath, [options.binary, ...options.args], {
        env,
        stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(options.logFile);
    child.stderr.pipe(log, { end: false });
    const exited = new Promise<number>(resolve => child.once("exit", code => resolve(code ?? -1)));
    return new Promise((resolve, reject) => {
        const timer = setTimeout(
            () => reject(new Error(`${options.name} did not listen in time; see ${options.logFile}`)),
            startTimeoutMs,
        );
        void exited.then(code =>
            reject(new Error(`${options.name} exited with ${code}; see ${options.logFile}`)),
        );
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

function parseFields(line: string): Record<string, string> {
    return Object.fromEntries(
        line.split(" ").map(pair => [pair.slice(0, pair.indexOf("=")), pair.slice(pair.indexOf("=") + 1)]),
    );
}
