import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { readManifest } from "@waxwingdale/manifest";
import { ExitCode } from "../src/exit-code.js";
import { createFakeCli, example } from "./fake-cli.js";

const operatorAddress = "10.0.0.7:9300";
const addEntry = (fake: ReturnType<typeof createFakeCli>, id: string, operatorAddress: string) =>
    fake.store.put(`entries/${id}`, { id, formats: [1], state: "live", operatorAddress }, 0);

test("check prints problems on standard error and a summary on standard output", async () => {
    const { run, files, state } = createFakeCli();
    assert.equal(await run("check", "khata.jsonc"), ExitCode.Ok);
    assert.equal(state.err, "");
    files["bad.jsonc"] = example.replace('"lookup":', '"lookups":');
    assert.equal(await run("check", "bad.jsonc"), ExitCode.ManifestErrors);
    assert.match(state.err, /^bad\.jsonc:115:5: error: lookups: .*did you mean "lookup"\?$/m);
    assert.equal(state.out, "bad.jsonc: not ok, 2 errors, 0 warnings\n");
});

test("check --strict fails on a warning", async () => {
    const { run, files } = createFakeCli();
    files["warn.jsonc"] = example.replace('"ttlSeconds": 5', '"ttlSeconds": 500');
    assert.equal(await run("check", "warn.jsonc"), ExitCode.Ok);
    assert.equal(await run("check", "--strict", "warn.jsonc"), ExitCode.ManifestErrors);
});

// Guards against scripts that have to parse two output formats.
test("check --json prints one object", async () => {
    const { run, files, state } = createFakeCli();
    files["bad.jsonc"] = "{";
    assert.equal(await run("check", "bad.jsonc", "--json"), ExitCode.ManifestErrors);
    const result = JSON.parse(state.out) as { ok: boolean; problems: unknown[] };
    assert.equal(result.ok, false);
    assert.ok(result.problems.length > 0);
    assert.equal(state.err, "");
});

test("a push without the active generation as its base is a conflict", async () => {
    const { run, state } = createFakeCli();
    assert.equal(await run("push", "khata.jsonc"), ExitCode.Ok);
    assert.match(state.out, /generation +1\npushId +push-1\n/);
    assert.equal(await run("push", "khata.jsonc"), ExitCode.Conflict);
    assert.match(state.err, /generation 1 is active.*--base 1/);
    assert.equal(await run("push", "khata.jsonc", "--base", "1", "--json"), ExitCode.Ok);
    assert.deepEqual(JSON.parse(state.out), { generation: 2, pushId: "push-3" });
    assert.equal(state.openStores, 0);
});

test("a push while the store is down has no effect", async () => {
    const { run, store, state } = createFakeCli();
    store.faults.down = true;
    assert.equal(await run("push", "khata.jsonc", "--json"), ExitCode.Unreachable);
    assert.equal((JSON.parse(state.err) as { exitCode: number }).exitCode, ExitCode.Unreachable);
    assert.equal(state.openStores, 0);
});

// Guards against a retried push that is accepted twice.
test("a push with an unknown outcome prints its id, and a retry with the id is safe", async () => {
    const { run, store, state } = createFakeCli();
    store.faults.loseWriteAnswers = 1;
    const get = store.get.bind(store);
    let reads = 0;
    store.get = key => (reads++ === 0 ? get(key) : ((store.faults.down = true), get(key)));
    assert.equal(await run("push", "khata.jsonc"), ExitCode.OutcomeUnknown);
    assert.match(state.err, /--push-id push-1/);
    store.faults.down = false;
    store.get = get;
    assert.equal(await run("push", "khata.jsonc", "--push-id", "push-1"), ExitCode.Ok);
    assert.match(state.out, /generation +1\n/);
});

test("push rejects a format version that a live entry does not support", async () => {
    const { run, store, state } = createFakeCli();
    await store.put("entries/old", { id: "old", formats: [0], state: "live" }, 0);
    assert.equal(await run("push", "khata.jsonc"), ExitCode.Refused);
    assert.match(state.err, /format version 1 is not supported by old/);
});

test("diff compares with the active manifest or with a file", async () => {
    const { run, files, state } = createFakeCli();
    assert.equal(await run("diff", "khata.jsonc"), ExitCode.Refused);
    await run("push", "khata.jsonc");
    assert.equal(await run("diff", "khata.jsonc"), ExitCode.Ok);
    assert.equal(state.out, "no changes against generation 1\n");
    files["new.jsonc"] = example.replace('"servers": 4', '"servers": 3');
    assert.equal(await run("diff", "new.jsonc", "--against", "khata.jsonc"), ExitCode.Ok);
    assert.match(state.out, /services\[intake\]\.sites\[bagmati-a\]\.servers +4 +3 +capacity-lowered/);
});

test("show --manifest prints a valid manifest file", async () => {
    const { run, state } = createFakeCli();
    assert.equal(await run("show"), ExitCode.Refused);
    await run("push", "khata.jsonc");
    assert.equal(await run("show", "--manifest"), ExitCode.Ok);
    assert.deepEqual(readManifest(state.out, "a").problems, []);
    assert.equal(await run("show"), ExitCode.Ok);
    assert.match(state.out, /^document +koshi-b +2 +60$/m);
});

test("status shows the state in the store, and the response of an entry as it is", async () => {
    const { run, responses, state } = createFakeCli();
    assert.equal(await run("status"), ExitCode.Ok);
    responses[`${operatorAddress}/status`] = { text: '{"a":{"b":[{"c":1}]}}' };
    assert.equal(await run("status", "--entry", operatorAddress), ExitCode.Ok);
    assert.equal(state.out, "entry.a.b:\nc\n1\n");
});

test("dump finds an entry by its id", async () => {
    const fake = createFakeCli();
    await addEntry(fake, "north-1", operatorAddress);
    fake.responses[`${operatorAddress}/dump`] = { text: '{"generation":4}' };
    assert.equal(await fake.run("dump", "north-1"), ExitCode.Ok);
    assert.equal(fake.state.out, "generation  4\n");
    assert.equal(await fake.run("dump", "north-2"), ExitCode.Refused);
});

test("a wrong or missing fleet key and an unreachable entry have different exit codes", async () => {
    const { run, responses, state, environment } = createFakeCli();
    responses[`${operatorAddress}/dump`] = { status: 401 };
    assert.equal(await run("dump", operatorAddress), ExitCode.Refused);
    assert.match(state.err, /rejected the fleet key/);
    assert.equal(await run("dump", "10.0.0.8:9300"), ExitCode.Unreachable);
    delete environment.env.WAXWINGDALE_FLEET_KEY;
    assert.equal(await run("dump", operatorAddress), ExitCode.Usage);
});

// Only the entry that handled a request has its record; another entry that is down must not hide it.
test("explain queries the entry of the request first and continues after one that does not respond", async () => {
    const fake = createFakeCli();
    await addEntry(fake, "a", "10.0.0.1:1");
    await addEntry(fake, "b", "10.0.0.2:1");
    await addEntry(fake, "c", "10.0.0.3:1");
    fake.responses["10.0.0.3:1/explain?request=b-17"] = { text: '{"id":"b-17"}' };
    assert.equal(await fake.run("explain", "b-17"), ExitCode.Ok);
    assert.deepEqual(
        fake.requests.map(request => request.slice(0, 8)),
        ["10.0.0.2", "10.0.0.1", "10.0.0.3"],
    );
    fake.responses["10.0.0.3:1/explain?request=b-18"] = { status: 404 };
    assert.equal(await fake.run("explain", "b-18"), ExitCode.Refused);
    assert.equal(await fake.run("explain", "10.2.0.17"), ExitCode.Unreachable);
    assert.match(fake.requests.at(-1)!, /\/explain\?client=10\.2\.0\.17$/);
});

test("outcome has its own exit code for an unknown outcome", async () => {
    const { run, responses } = createFakeCli();
    const callerAddress = "10.0.0.7:8080";
    responses[`${callerAddress}/v1/outcomes/register/a%2Fb`] = { text: '{"outcome":"unknown"}' };
    responses[`${callerAddress}/v1/outcomes/register/-c`] = { text: '{"outcome":"ran"}', outcome: "ran" };
    assert.equal(await run("outcome", "register", "a/b", "--caller", callerAddress), ExitCode.OutcomeUnknown);
    assert.equal(await run("outcome", "--caller", callerAddress, "--", "register", "-c"), ExitCode.Ok);
});

test("drain-status prints the phase and counts servers", async () => {
    const { run, files, store, state } = createFakeCli();
    const drains = ["01T10:00:00Z", "01T14:00:00Z"].map(
        (time, i) => `{"place":"koshi-${"ab"[i]!}","startsAt":"2026-05-${time}"}`,
    );
    files["drain.jsonc"] = example.replace('"drains": []', `"drains": [${drains.join()}]`);
    const server = { role: "backend-server", address: "10.0.0.9:1", region: "koshi", zone: "a" };
    store.instances = ["live", "leaving", "leaving"].map(
        (row, i) => ({ ...server, id: String(i), state: row }) as (typeof store.instances)[number],
    );
    await run("push", "drain.jsonc");
    assert.equal(await run("drain-status"), ExitCode.Ok);
    assert.match(state.out, /^koshi-a +all +active +\S+ +- +1 +2$/m);
    assert.match(state.out, /^koshi-b +all +planned +\S+ +- +0 +0$/m);
});

test("health succeeds only if every entry is ready", async () => {
    const fake = createFakeCli();
    await addEntry(fake, "a", operatorAddress);
    fake.responses[`${operatorAddress}/health`] = {};
    fake.responses[`${operatorAddress}/ready`] = { status: 503, text: '{"reason":"no manifest"}' };
    assert.equal(await fake.run("health"), ExitCode.Refused);
    assert.match(fake.state.out, /^a +10\.0\.0\.7:9300 +true +false +no manifest$/m);
    fake.responses[`${operatorAddress}/ready`] = {};
    assert.equal(await fake.run("health"), ExitCode.Ok);
});

// Guards against a trace check that exits with code 0 in spite of a violated rule.
test("traces can be started, fetched into a file and checked", async () => {
    const { run, responses, requests, files, state } = createFakeCli();
    const folder = new URL("../../trace/test/traces/", import.meta.url);
    const text = readFileSync(new URL("site-drain.entry-north-1.jsonl", folder), "utf8");
    responses[`${operatorAddress}/trace?seconds=5`] = { text: '{"seconds":5}' };
    responses[`${operatorAddress}/trace`] = { text };
    assert.equal(await run("trace", "start", operatorAddress, "--seconds", "5"), ExitCode.Ok);
    assert.equal(requests.at(-1), `PUT ${operatorAddress}/trace?seconds=5`);
    assert.equal(await run("trace", "fetch", operatorAddress, "--out", "a.jsonl"), ExitCode.Ok);
    assert.equal(files["a.jsonl"], text);
    assert.equal(await run("trace", "fetch", operatorAddress), ExitCode.Ok);
    assert.equal(state.out, text);
    assert.equal(await run("trace", "check", "a.jsonl", "a.jsonl"), ExitCode.Ok);
    files["b.jsonl"] = text.replace('"generation":2,"manifest"', '"generation":1,"manifest"');
    assert.equal(await run("trace", "check", "a.jsonl", "b.jsonl"), ExitCode.ManifestErrors);
    assert.match(state.out, /^generation-order .*b\.jsonl:\d+$/m);
});

test("trace commands exit with code 2 on wrong arguments", async () => {
    const { run, files, state } = createFakeCli();
    files["c.jsonl"] = "{}";
    const lines = ["trace", "trace stop x", "trace check", "trace check none", "trace check c.jsonl"];
    for (const line of [
        ...lines,
        `trace start ${operatorAddress} --seconds 0`,
        `trace fetch ${operatorAddress} x`,
    ]) {
        assert.equal(await run(...line.split(" ")), ExitCode.Usage, line);
        assert.match(state.err, /^fix: /m);
    }
});

const gatewayLines = [
    "time=2026-05-01T11:59:58.000Z level=info event=server-added instance=g-1 server=i-1 zone=of-the-former-process",
    "time=2026-05-01T11:59:59.000Z level=info event=started instance=g-1 zone=n-a",
    "time=2026-05-01T12:00:00.000Z level=info event=document-applied instance=g-1 document=traffic order=4 source=store",
    'time=2026-05-01T12:00:01.000Z level=warn event=dependency-lost instance=g-1 dependency=store prefix=config/ silentMs=4000 error="no answer"',
    'time=2026-05-01T12:00:01.000Z level=warn event=dependency-lost instance=g-1 dependency=store prefix=servers/ silentMs=2000 error="no answer"',
    "time=2026-05-01T12:00:01.500Z level=info event=dependency-regained instance=g-1 dependency=store prefix=servers/ awayMs=500",
    "time=2026-05-01T12:00:01.700Z level=info event=server-added instance=g-1 server=i-1 zone=n-a",
    "time=2026-05-01T12:00:01.900Z level=warn event=response-skipped instance=g-1 request=aa response=zz server=i-1 service=files reason=earlier-request status=500 isReused=true",
    "time=2026-05-01T12:00:01.900Z level=warn event=response-skipped instance=g-2 request=aa server=i-2 service=files reason=no-id status=500 isReused=true",
    'time=2026-05-01T12:00:02.000Z level=warn event=request-refused instance=g-1 request=aa route=r-1 service=files object=7 status=503 reason="the backend server had no room" config=4 waitedMs=20 tookMs=31 deadlineMs=900 attempts="i-1,not-run 503,expected=80,took=9"',
    'time=2026-05-01T12:00:02.200Z level=warn event=request-refused instance=g-1 request=bb route=r-1 service=files status=503 reason=overloaded config=4 waitedMs=90 tookMs=90 deadlineMs=900 attempts=""',
    "time=2026-05-01T12:00:03.000Z level=info event=document-applied instance=g-1 document=traffic order=5 source=peer",
    "broken line time=x event",
];

// Guards against a failed request that cannot be explained after its instance has stopped.
test("explain --logs reports the outcome of a request and the state that the instance had seen", async () => {
    const fake = createFakeCli();
    fake.lines.push(...gatewayLines.map(line => `12.3 g-1 ${line}`));
    assert.equal(await fake.run("explain", "aa", "--logs"), ExitCode.Ok);
    assert.equal(fake.requests.length, 0);
    assert.match(fake.state.out, /^aa at g-1/);
    assert.match(fake.state.out, /Rejected after 20 ms \(the backend server had no room\)/);
    assert.match(fake.state.out, /Attempt 1: i-1: the server had no capacity; the request did not run/);
    assert.match(fake.state.out, /with the same event within a second: 1\./);
    assert.match(fake.state.out, /Unavailable at that time: .*prefix=config\//);
    assert.doesNotMatch(fake.state.out, /Unavailable at that time: .*prefix=servers\//);
    assert.match(fake.state.out, /Skipped response: .*response=zz .*reason=earlier-request status=500/);
    assert.doesNotMatch(fake.state.out, /reason=no-id/);
    assert.match(fake.state.out, /Configuration: .*order=4/);
    assert.match(fake.state.out, /Server: .*event=server-added/);
    assert.doesNotMatch(fake.state.out, /former-process/);
    assert.equal(await fake.run("explain", "cc", "--logs"), ExitCode.Refused);
    assert.match(fake.state.err, /no log line is about request cc/);
});
