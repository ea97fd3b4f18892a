import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import fc from "fast-check";
import { getCommandWords } from "../src/arguments.js";
import { createEntryFetch } from "../src/entry-fetch.js";
import { CommandError } from "../src/command-error.js";
import { commands } from "../src/commands/index.js";
import { ExitCode } from "../src/exit-code.js";
import { globalOptions } from "../src/options.js";
import { formatValue } from "../src/table.js";
import { createFakeCli } from "./fake-cli.js";

// Guards against a typo that runs another command or is ignored.
test("wrong usage exits with code 2 and prints a fix", async () => {
    const { run, state } = createFakeCli();
    const lines = [
        "",
        "chek x",
        "check",
        "check a b",
        "check --base 1 khata.jsonc",
        "check --bas khata.jsonc",
    ];
    const more = [
        "push khata.jsonc --base",
        "push khata.jsonc --base one",
        "show --store nowhere",
        "check none",
    ];
    for (const line of [...lines, ...more, "status --entry 1.2.3.4:99999", "push khata.jsonc --json=yes"]) {
        assert.equal(await run(...line.split(" ").filter(Boolean)), ExitCode.Usage, line);
        assert.match(state.err, /^fix: /m);
    }
});

test("options may precede the command", async () => {
    const { run, state } = createFakeCli();
    assert.equal(await run("--json", "check", "khata.jsonc"), ExitCode.Ok);
    assert.equal((JSON.parse(state.out) as { ok: boolean }).ok, true);
});

test("the help of each command lists its options", async t => {
    const log = t.mock.method(console, "log", () => undefined);
    const { run } = createFakeCli();
    for (const spec of commands) {
        const { usage, options = [] } = spec;
        assert.equal(await run(...getCommandWords(spec), "--help"), ExitCode.Ok);
        const help = String(log.mock.calls.at(-1)?.arguments[0]);
        for (const text of [usage, ...[...globalOptions, ...options].map(name => `--${name} `)]) {
            assert.ok(help.includes(text), `${usage}: ${text}`);
        }
    }
    assert.equal(await run("--help"), ExitCode.Ok);
    assert.equal(log.mock.callCount(), commands.length + 1);
});

// Guards against a command, an option or an exit code that is missing from the guide.
test("the guide lists every command, option and exit code", () => {
    const guide = readFileSync(new URL("../../../docs/guide/command-line.md", import.meta.url), "utf8");
    for (const { usage, options = [] } of commands) {
        assert.ok(guide.includes(`\`${usage}\``), usage);
        [...globalOptions, ...options].forEach(name => assert.ok(guide.includes(`\`--${name}`), name));
    }
    for (const [name, code] of Object.entries(ExitCode).filter(([, value]) => typeof value === "number")) {
        assert.match(guide, new RegExp(`^\\| ${code} +\\| \`${name}\``, "m"));
    }
});

// The state of an entry contains text from callers; its escape sequences must not reach the operator's terminal.
test("any value is printed without control characters", () => {
    fc.assert(
        fc.property(fc.jsonValue({ stringUnit: "binary" }), value => {
            // eslint-disable-next-line no-control-regex
            assert.doesNotMatch(formatValue(value), /[\u0000-\u0009\u000b-\u001f\u007f-\u009f]/);
        }),
    );
});

test("errors and plain-text responses are printed without control characters", async () => {
    const { run, responses, state } = createFakeCli();
    responses["10.0.0.7:1/metrics"] = { text: "a 1\nb \u001b[2J\u009b" };
    assert.equal(await run("metrics", "10.0.0.7:1"), ExitCode.Ok);
    assert.equal(state.out, "a 1\nb \\u001b[2J\\u009b\n");
    responses["10.0.0.7:1/dump"] = { status: 500, text: '{"message":"\\u001b[2J"}' };
    assert.equal(await run("dump", "10.0.0.7:1"), ExitCode.Refused);
    assert.match(state.err, /status 500: \\u001b\[2J/);
});

test("nested values are printed under their path", () => {
    const value = { id: "a", list: [1, 2], rows: [{ x: 1 }, { y: "z" }], deep: { empty: {}, n: true } };
    assert.equal(
        formatValue(value),
        "id    a\nlist  1,2\n\nrows:\nx  y\n1  -\n-  z\n\ndeep:\nempty  {}\nn      true",
    );
});

test("requests to an entry have the fleet key, and a missing response is an error", async () => {
    const server = createServer((req, res) => {
        if (req.url === "/status") {
            res.setHeader("waxwingdale-outcome", "ran");
            res.end(req.headers.authorization);
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    try {
        const response = await createEntryFetch()(address, "/status", "secret");
        assert.deepEqual(response, { status: 200, text: "Bearer secret", outcome: "ran" });
        const isUnreachable = (err: unknown) =>
            err instanceof CommandError && err.exitCode === ExitCode.Unreachable;
        await assert.rejects(createEntryFetch(50)(address, "/silent", "secret"), isUnreachable);
    } finally {
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
    }
    await assert.rejects(createEntryFetch()(address, "/status", "secret"), CommandError);
});
