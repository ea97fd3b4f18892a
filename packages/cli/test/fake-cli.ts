/** Runs commands in an in-memory environment. */
import { readFileSync } from "node:fs";
import { createManualClock } from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";
import { runCli } from "../src/run-cli.js";
import type { EntryResponse, CommandEnvironment } from "../src/command-context.js";
import { CommandError } from "../src/command-error.js";
import { ExitCode } from "../src/exit-code.js";

export const example = readFileSync(
    new URL("../../../examples/khata.manifest.jsonc", import.meta.url),
    "utf8",
);

export function createFakeCli() {
    const clock = createManualClock(Date.parse("2026-05-01T12:00:00Z"));
    const store = new MemoryObjectStore(clock);
    const files: Record<string, string> = { "khata.jsonc": example };
    const responses: Record<string, Partial<EntryResponse>> = {};
    const requests: string[] = [];
    const lines: string[] = [];
    const state = { out: "", err: "", openStores: 0, pushes: 0 };
    const connect = () => {
        state.openStores++;
        return { store, close: async () => void state.openStores-- };
    };
    const environment: CommandEnvironment = {
        env: { WAXWINGDALE_STORE: "10.0.0.5:7400", WAXWINGDALE_FLEET_KEY: "key" },
        clock,
        readFile: async path => {
            if (files[path] === undefined) {
                throw Object.assign(new Error("no such file"), { code: "ENOENT" });
            }
            return files[path];
        },
        writeFile: async (path, text) => void (files[path] = text),
        readLines: async function* () {
            yield* lines;
        },
        print: text => void (state.out += `${text}\n`),
        printError: text => void (state.err += `${text}\n`),
        connectStore: connect,
        connectPlatformStore: connect,
        fetchFromEntry: async (address, path, _key, method = "GET") => {
            requests.push(method === "GET" ? `${address}${path}` : `${method} ${address}${path}`);
            const response = responses[`${address}${path}`];
            if (response === undefined) {
                throw new CommandError(ExitCode.Unreachable, `the entry at ${address} does not respond`, "x");
            }
            return { status: 200, text: "{}", outcome: undefined, ...response };
        },
        createPushId: () => `push-${++state.pushes}`,
    };
    /** Runs a command and returns its exit code; `state` holds only the output of this command. */
    const run = (...argv: string[]) => {
        state.out = "";
        state.err = "";
        return runCli(argv, environment);
    };
    return { run, store, files, responses, lines, requests, state, environment };
}
