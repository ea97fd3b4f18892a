/** Executable of the command line. */
import { randomUUID } from "node:crypto";
import { createInterface } from "node:readline";
import { readFile, writeFile } from "node:fs/promises";
import { createSystemClock } from "@waxwingdale/core";
import { connectPlatformStore } from "@waxwingdale/gateway";
import { createEntryFetch } from "../entry-fetch.js";
import { connectStore } from "../connect-store.js";
import { runCli } from "../run-cli.js";

const clock = createSystemClock();

// A consumer such as `head` may close the pipe early, which is not an error.
process.stdout.on("error", (err: NodeJS.ErrnoException) => {
    if (err.code !== "EPIPE") {
        throw err;
    }
});

process.exitCode = await runCli(process.argv.slice(2), {
    env: process.env,
    clock,
    readFile: path => readFile(path, "utf8"),
    writeFile: (path, text) => writeFile(path, text),
    print: text => void process.stdout.write(`${text}\n`),
    printError: text => void process.stderr.write(`${text}\n`),
    connectStore: address => connectStore(address, clock),
    connectPlatformStore,
    fetchFromEntry: createEntryFetch(),
    readLines: () => createInterface({ input: process.stdin, crlfDelay: Infinity }),
    createPushId: randomUUID,
});
