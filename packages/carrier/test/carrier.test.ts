import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { ClaimState, SlotResult } from "@waxwingdale/core";
import { createPattern, createPatternChecker } from "@waxwingdale/stand-ins";
import { request } from "undici";
import { findUnusedAddress, startFixture } from "./carrier-fixture.js";
import type { Fixture } from "./carrier-fixture.js";

async function setUp(t: TestContext, ...args: Parameters<typeof startFixture>): Promise<Fixture> {
    const fixture = await startFixture(...args);
    t.after(() => fixture.close());
    return fixture;
}

const issue = (fixture: Fixture, path = "/register/certificates", key = "k1") =>
    request(`${fixture.url}${path}`, { method: "POST", headers: { "idempotency-key": key }, body: "{}" });

test("a refused connection is not run and another server answers", async t => {
    const fixture = await setUp(t, [{}], [await findUnusedAddress()]);
    const res = await issue(fixture);
    await res.body.dump();
    assert.equal(res.statusCode, 200);
    assert.equal(res.headers["waxwingdale-outcome"], "ran");
    assert.deepEqual(fixture.slotResults, [SlotResult.Unreachable, SlotResult.Completed]);
    assert.equal(fixture.backends[0]!.record.summary.started, 1);
});

test("a server that refuses to start a request has not run it", async t => {
    const fixture = await setUp(t, [{}]);
    fixture.backends[0]!.faults.refuseAll = true;
    const res = await issue(fixture);
    const body = (await res.body.json()) as { outcome: string };
    assert.equal(body.outcome, "not-run");
    assert.equal(fixture.backends[0]!.record.summary.started, 0);
    assert.deepEqual(fixture.claimOutcomes, [{ kind: "not-run" }]);
});

test("a reset after the request was sent is unknown and a write is not sent again", async t => {
    const fixture = await setUp(t, [{}, {}]);
    const res = await issue(fixture, "/register/certificates?crash=1");
    const body = (await res.body.json()) as { outcome: string; reason: string };
    assert.equal(res.statusCode, 502);
    assert.deepEqual([body.outcome, body.reason], ["unknown", "backend-connection-lost"]);
    assert.equal(fixture.backends[1]!.record.summary.started, 0);
    assert.deepEqual(fixture.claimOutcomes, [{ kind: "unknown" }]);
    assert.equal(fixture.crashes.length, 1);
});

test("an idempotent request is sent to another server after a reset", async t => {
    const fixture = await setUp(t, [{ workMs: 200 }, {}]);
    const answer = request(`${fixture.url}/register/detectors/1`);
    setTimeout(() => fixture.backends[0]!.crash(), 50);
    const res = await answer;
    await res.body.dump();
    assert.equal(res.statusCode, 200);
    assert.deepEqual(fixture.slotResults, [SlotResult.Broken, SlotResult.Completed]);
});

test("a timeout after sending is unknown and frees the connection from the late answer", async t => {
    const fixture = await setUp(t, [{ workMs: 300 }]);
    const headers = { "waxwingdale-deadline-ms": "50" };
    const late = await request(`${fixture.url}/register/detectors/1`, { headers });
    assert.equal(((await late.body.json()) as { outcome: string }).outcome, "unknown");
    const next = await request(`${fixture.url}/register/detectors/2`, { headers: { "x-nonce": "second" } });
    const body = (await next.body.json()) as { nonce: string; path: string };
    assert.deepEqual([body.nonce, body.path], ["second", "/detectors/2"]);
});

test("a cut answer resets the caller's connection", async t => {
    const fixture = await setUp(t, [{}]);
    fixture.backends[0]!.faults.cutShare = 1;
    const res = await request(`${fixture.url}/register/files/1?bytes=1000000`);
    await assert.rejects(res.body.dump({ limit: 10_000_000 }).then(() => res.body.text()));
});

test("a cut answer without a declared length is not ended as whole", async t => {
    const fixture = await setUp(t, [{}]);
    fixture.backends[0]!.faults.cutShare = 1;
    const res = await request(`${fixture.url}/register/files/1?bytes=1000000`);
    let failed = false;
    try {
        for await (const chunk of res.body) {
            void chunk;
        }
    } catch {
        failed = true;
    }
    assert.ok(failed);
});

test("a caller that leaves cancels its download", async t => {
    const fixture = await setUp(t, [{}]);
    const res = await request(`${fixture.url}/register/files/1?bytes=1000000000`);
    res.body.destroy();
    res.body.on("error", () => undefined);
    for (let i = 0; i < 100 && fixture.backends[0]!.busy() > 0; i++) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    assert.equal(fixture.backends[0]!.busy(), 0);
    // A download that only ran on without its caller would have completed.
    assert.deepEqual(fixture.slotResults, [SlotResult.Broken]);
});

test("a write whose caller leaves runs to its end and its outcome is recorded", async t => {
    const fixture = await setUp(t, [{ workMs: 100 }]);
    const abort = new AbortController();
    const answer = request(`${fixture.url}/register/certificates`, {
        method: "POST",
        headers: { "idempotency-key": "k" },
        body: "{}",
        signal: abort.signal,
    });
    setTimeout(() => abort.abort(), 30);
    await assert.rejects(answer);
    for (let i = 0; i < 100 && fixture.claimOutcomes.length === 0; i++) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    assert.equal(fixture.claimOutcomes[0]?.kind, "ran");
});

test("the recorded outcome of a key is sent again and nothing runs", async t => {
    const fixture = await setUp(t, [{}]);
    const body = Buffer.from('{"certificate":7}').toString("base64");
    fixture.claim = {
        state: ClaimState.Finished,
        response: { status: 201, headers: { "content-type": "application/json" }, body },
    };
    const res = await issue(fixture);
    assert.equal(res.statusCode, 201);
    assert.equal(res.headers["waxwingdale-reason"], "replayed");
    assert.deepEqual(await res.body.json(), { certificate: 7 });
    assert.equal(fixture.backends[0]!.record.summary.started, 0);
});

test("an unknown outcome of a key is not run again", async t => {
    const fixture = await setUp(t, [{}]);
    fixture.claim = { state: ClaimState.Unknown };
    const res = await issue(fixture);
    await res.body.dump();
    assert.equal(res.headers["waxwingdale-outcome"], "unknown");
    assert.equal(fixture.backends[0]!.record.summary.started, 0);
});

test("a write without a key is refused before anything runs", async t => {
    const fixture = await setUp(t, [{}]);
    const res = await request(`${fixture.url}/register/certificates`, { method: "POST", body: "{}" });
    assert.equal(res.statusCode, 400);
    assert.equal(((await res.body.json()) as { reason: string }).reason, "missing-idempotency-key");
});

test("a large upload is streamed whole", async t => {
    const fixture = await setUp(t, [{}]);
    const length = 5_000_000;
    const body = Buffer.concat([...createPattern(length)]);
    const res = await request(`${fixture.url}/register/bundles/1`, { method: "PUT", body });
    const answer = (await res.body.json()) as { received: number; correct: boolean };
    assert.deepEqual([answer.received, answer.correct], [length, true]);
});

test("a body over the route's limit is refused", async t => {
    const fixture = await setUp(t, [{}]);
    const res = await request(`${fixture.url}/register/bundles/1`, {
        method: "PUT",
        body: Buffer.alloc(10_000_001),
    }).catch(() => undefined);
    await res?.body.dump().catch(() => undefined);
    assert.ok(res === undefined || res.statusCode === 413);
    assert.equal(fixture.backends[0]!.record.summary.started, 0);
});

test("a caller cannot forge the system's headers", async t => {
    const fixture = await setUp(t, [{}]);
    const headers = {
        "waxwingdale-from-region": "south",
        "waxwingdale-fingerprint": "f",
        "waxwingdale-client": "1.2.3.4",
        "waxwingdale-request-id": "mine",
    };
    const res = await request(`${fixture.url}/register/detectors/1`, { headers });
    await res.body.dump();
    const [record] = fixture.options.records.latest(1);
    assert.equal(record!.client, "127.0.0.1");
    assert.notEqual(record!.id, "mine");
});

test("both lengths of a smuggled request are refused by the parser", async t => {
    const fixture = await setUp(t, [{}]);
    const { port } = new URL(fixture.url);
    const socket = connect(Number(port), "127.0.0.1");
    socket.write(
        "PUT /register/bundles/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /register/detectors/1 HTTP/1.1\r\nhost: x\r\n\r\n",
    );
    const answer = await new Promise<string>(resolve => {
        let text = "";
        socket.on("data", chunk => (text += chunk.toString()));
        socket.on("error", () => resolve(text));
        socket.on("close", () => resolve(text));
    });
    assert.match(answer, /^HTTP\/1\.1 400/);
    assert.equal(fixture.backends[0]!.record.summary.started, 0);
});

test("fifty parallel downloads each get their own bytes", async t => {
    const fixture = await setUp(t, [{ slots: 100 }]);
    const sizes = Array.from({ length: 50 }, (_, i) => 100_000 + i);
    await Promise.all(
        sizes.map(async size => {
            const res = await request(`${fixture.url}/register/files/${size}?bytes=${size}`);
            const checker = createPatternChecker();
            for await (const chunk of res.body) {
                checker.add(chunk as Buffer);
            }
            assert.deepEqual(checker.result(), { length: size, correct: true });
        }),
    );
});
