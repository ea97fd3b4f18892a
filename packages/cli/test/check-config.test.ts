import assert from "node:assert/strict";
import { test } from "node:test";
import { ExitCode } from "../src/exit-code.js";
import { createFakeCli } from "./fake-cli.js";

const text = `{
    "version": "r7", // comments are accepted
    "routes": {
        "r": { "host": "a.example", "path-prefix": "/a/", "kind": "safe", "timeout-s": 2, "service": "files" },
    },
    "services": { "files": {} },
    "tenants": { "a": { "api-keys": ["key-1"] } },
}`;
const files = {
    "c.jsonc": text,
    "next.jsonc": text.replace("r7", "r8").replace('"key-1"', '"key-1", "key-2"'),
    "warn.jsonc": text.replace('"/a/"', '"/a"'),
    "bad.jsonc": text.replace('"timeout-s": 2', '"timeout-s": -2'),
    "cut.jsonc": text.slice(0, -1),
};
const address = "10.0.0.5:7400";

const cases: [args: string[], code: ExitCode, output: RegExp][] = [
    [["c.jsonc"], ExitCode.Ok, /^c\.jsonc: ok, 0 errors, 0 warnings\n$/],
    [
        ["warn.jsonc"],
        ExitCode.Ok,
        /ok, 0 errors, 1 warnings\nwarn\.jsonc: warning: routes\.r\["path-prefix"\]: /,
    ],
    [["warn.jsonc", "--strict"], ExitCode.ManifestErrors, /warn\.jsonc has warnings/],
    [["bad.jsonc"], ExitCode.ManifestErrors, /bad\.jsonc: error: routes\.r\["timeout-s"\]: must be >=0/],
    [["cut.jsonc"], ExitCode.ManifestErrors, /error: \$: cut\.jsonc:8:1: CloseBraceExpected/],
    [["none.jsonc"], ExitCode.Usage, /cannot read none\.jsonc/],
    [
        ["next.jsonc", "--against", "c.jsonc"],
        ExitCode.Ok,
        /against c\.jsonc:\n\nkeys:\nfrom +to +count\n- +a +1\n/,
    ],
    [
        ["c.jsonc", "--against", "next.jsonc"],
        ExitCode.ManifestErrors,
        /version 7 is not higher than version 8/,
    ],
    [["c.jsonc", "--against", "cut.jsonc"], ExitCode.ManifestErrors, /cut\.jsonc:8:1/],
    [
        ["c.jsonc", "--platform-store", address],
        ExitCode.Ok,
        /no changes against the store at 10\.0\.0\.5:7400/,
    ],
    [["c.jsonc", "--platform-store", "x"], ExitCode.Usage, /--platform-store as host:port/],
    [["c.jsonc", "--against", "c.jsonc", "--platform-store", address], ExitCode.Usage, /exclude each other/],
];

test("check-config reports problems and changes, and prints no key", async () => {
    const fake = createFakeCli();
    Object.assign(fake.files, files);
    await fake.store.put("config/main", JSON.parse(text.replace(/\/\/.*/, "").replace(/,(?=\s*})/g, "")), 0);
    for (const [args, code, output] of cases) {
        assert.equal(await fake.run("check-config", ...args), code, args.join(" "));
        const printed = fake.state.out + fake.state.err;
        assert.match(printed, output);
        assert.ok(!printed.includes("key-"), printed);
        assert.equal(fake.state.openStores, 0);
    }
});

// Guards against scripts that have to parse two output formats.
test("check-config --json prints one object, also for errors of syntax", async () => {
    const { run, state, files: fakeFiles } = createFakeCli();
    Object.assign(fakeFiles, files);
    const read = () => JSON.parse(state.out) as Record<string, unknown>;
    assert.equal(await run("check-config", "next.jsonc", "--against", "c.jsonc", "--json"), ExitCode.Ok);
    assert.deepEqual(read(), {
        file: "next.jsonc",
        ok: true,
        errors: 0,
        warnings: 0,
        problems: [],
        against: "c.jsonc",
        changes: [],
        keyChanges: [{ to: "a", count: 1 }],
    });
    assert.equal(await run("check-config", "cut.jsonc", "--json"), ExitCode.ManifestErrors);
    assert.equal(read().ok, false);
    assert.equal(state.err, "");
});

test("check-config tells a store without a configuration from one that does not respond", async () => {
    const { run, store, state } = createFakeCli();
    assert.equal(await run("check-config", "khata.jsonc", "--platform-store", address), ExitCode.Refused);
    store.faults.down = true;
    assert.equal(await run("check-config", "khata.jsonc", "--platform-store", address), ExitCode.Unreachable);
    assert.equal(state.openStores, 0);
});
