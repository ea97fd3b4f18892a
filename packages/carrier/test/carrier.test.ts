import assert from "node:assert/strict";
import { once } from "node:events";
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

test("a request is retried on another server if the connection is refused", async t => {
    const fixture = await setUp(t, [{}], [await findUnusedAddress()]);
    const res = await issue(fixture);
    await res.body.dump();
    assert.equal(res.statusCode, 200);
    assert.equal(res.headers["waxwingdale-outcome"], "ran");
    assert.deepEqual(fixture.slotResults, [SlotResult.Unreachable, SlotResult.Completed]);
    assert.equal(fixture.backends[0]!.record.summary.started, 1);
});

test("a request that the server did not start is reported as not run", async t => {
    const fixture = await setUp(t, [{}]);
    fixture.backends[0]!.faults.refuseAll = true;
    const res = await issue(fixture);
    const body = (await res.body.json()) as { outcome: string };
    assert.equal(body.outcome, "not-run");
    assert.equal(fixture.backends[0]!.record.summary.started, 0);
    assert.deepEqual(fixture.claimOutcomes, [{ kind: "not-run" }]);
});

test("the outcome is unknown after a connection reset and a write is not retried", async t => {
    const fixture = await setUp(t, [{}, {}]);
    const res = await issue(fixture, "/register/certificates?crash=1");
    const body = (await res.body.json()) as { outcome: string; reason: string };
    assert.equal(res.statusCode, 502);
    assert.deepEqual([body.outcome, body.reason], ["unknown", "backend-connection-lost"]);
    assert.equal(fixture.backends[1]!.record.summary.started, 0);
    assert.deepEqual(fixture.claimOutcomes, [{ kind: "unknown" }]);
    assert.equal(fixture.crashes.length, 1);
});

test("an idempotent request is retried on another server after a connection reset", async t => {
    const fixture = await setUp(t, [{ workMs: 200 }, {}]);
    const pending = request(`${fixture.url}/register/detectors/1`);
    setTimeout(() => fixture.backends[0]!.crash(), 50);
    const res = await pending;
    await res.body.dump();
    assert.equal(res.statusCode, 200);
    assert.deepEqual(fixture.slotResults, [SlotResult.Broken, SlotResult.Completed]);
});

test("the outcome is unknown after a timeout and the next request does not get the late response", async t => {
    const fixture = await setUp(t, [{ workMs: 300 }]);
    const headers = { "waxwingdale-deadline-ms": "50" };
    const late = await request(`${fixture.url}/register/detectors/1`, { headers });
    assert.equal(((await late.body.json()) as { outcome: string }).outcome, "unknown");
    const next = await request(`${fixture.url}/register/detectors/2`, { headers: { "x-nonce": "second" } });
    const body = (await next.body.json()) as { nonce: string; path: string };
    assert.deepEqual([body.nonce, body.path], ["second", "/detectors/2"]);
});

test("a truncated response resets the caller's connection", async t => {
    const fixture = await setUp(t, [{}]);
    fixture.backends[0]!.faults.cutShare = 1;
    const res = await request(`${fixture.url}/register/files/1?bytes=1000000`);
    await assert.rejects(res.body.dump({ limit: 10_000_000 }).then(() => res.body.text()));
});

test("a truncated response without a content-length is not ended as if it were complete", async t => {
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

test("a download is canceled if its caller disconnects", async t => {
    const fixture = await setUp(t, [{}]);
    const res = await request(`${fixture.url}/register/files/1?bytes=1000000000`);
    res.body.destroy();
    res.body.on("error", () => undefined);
    for (let i = 0; i < 100 && fixture.backends[0]!.busy() > 0; i++) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    assert.equal(fixture.backends[0]!.busy(), 0);
    // A download that continued without its caller would have completed.
    assert.deepEqual(fixture.slotResults, [SlotResult.Broken]);
});

// Guards against work for callers whose close a late process has not read yet.
test("late process: a read is not sent if its caller has closed, a write runs for its key", async t => {
    const fixture = await setUp(t, [{}]);
    const port = Number(new URL(fixture.url).port);
    const open = async () => {
        const socket = connect(port, "127.0.0.1");
        await once(socket, "connect");
        return socket;
    };
    const [reader, writer] = [await open(), await open()];
    const head = "HTTP/1.1\r\nHost: h\r\n";
    reader.write(`GET /register/detectors/1 ${head}\r\n`);
    const write = `Idempotency-Key: k1\r\nContent-Length: 2\r\n\r\n{}`;
    writer.write(`POST /register/certificates ${head}${write}`);
    reader.destroy();
    writer.destroy();
    const until = performance.now() + 600;
    while (performance.now() < until) {
        // Busy on purpose: the event loop is late.
    }
    await new Promise(resolve => setTimeout(resolve, 200));
    assert.deepEqual(
        fixture.claimOutcomes.map(({ kind }) => kind),
        ["ran"],
    );
    assert.equal(fixture.backends[0]!.record.summary.started, 1);
});

test("a write completes and its outcome is recorded if its caller disconnects", async t => {
    const fixture = await setUp(t, [{ workMs: 100 }]);
    const abort = new AbortController();
    const pending = request(`${fixture.url}/register/certificates`, {
        method: "POST",
        headers: { "idempotency-key": "k" },
        body: "{}",
        signal: abort.signal,
    });
    void pending.catch(() => undefined);
    // A caller that leaves before its request has been read has sent none.
    for (let i = 0; i < 100 && fixture.backends[0]!.record.summary.started === 0; i++) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    abort.abort();
    await assert.rejects(pending);
    assert.equal(fixture.claimOutcomes.length, 0);
    for (let i = 0; i < 100 && fixture.claimOutcomes.length === 0; i++) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    assert.equal(fixture.claimOutcomes[0]?.kind, "ran");
});

test("the recorded response of an idempotency key is replayed without running the request again", async t => {
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

test("a request is not run again if the outcome of its idempotency key is unknown", async t => {
    const fixture = await setUp(t, [{}]);
    fixture.claim = { state: ClaimState.Unknown };
    const res = await issue(fixture);
    await res.body.dump();
    assert.equal(res.headers["waxwingdale-outcome"], "unknown");
    assert.equal(fixture.backends[0]!.record.summary.started, 0);
});

test("a write without an idempotency key is rejected", async t => {
    const fixture = await setUp(t, [{}]);
    const res = await request(`${fixture.url}/register/certificates`, { method: "POST", body: "{}" });
    assert.equal(res.statusCode, 400);
    assert.equal(((await res.body.json()) as { reason: string }).reason, "missing-idempotency-key");
});

test("a large upload is streamed completely", async t => {
    const fixture = await setUp(t, [{}]);
    const length = 5_000_000;
    const body = Buffer.concat([...createPattern(length)]);
    const res = await request(`${fixture.url}/register/bundles/1`, { method: "PUT", body });
    const result = (await res.body.json()) as { received: number; correct: boolean };
    assert.deepEqual([result.received, result.correct], [length, true]);
});

test("a body over the size limit of the route is rejected", async t => {
    const fixture = await setUp(t, [{}]);
    const res = await request(`${fixture.url}/register/bundles/1`, {
        method: "PUT",
        body: Buffer.alloc(10_000_001),
    }).catch(() => undefined);
    await res?.body.dump().catch(() => undefined);
    assert.ok(res === undefined || res.statusCode === 413);
    assert.equal(fixture.backends[0]!.record.summary.started, 0);
});

test("internal headers sent by a caller are ignored", async t => {
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

test("a request with both content-length and transfer-encoding is rejected by the parser", async t => {
    const fixture = await setUp(t, [{}]);
    const { port } = new URL(fixture.url);
    const socket = connect(Number(port), "127.0.0.1");
    socket.write(
        "PUT /register/bundles/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /register/detectors/1 HTTP/1.1\r\nhost: x\r\n\r\n",
    );
    const response = await new Promise<string>(resolve => {
        let text = "";
        socket.on("data", chunk => (text += chunk.toString()));
        socket.on("error", () => resolve(text));
        socket.on("close", () => resolve(text));
    });
    assert.match(response, /^HTTP\/1\.1 400/);
    assert.equal(fixture.backends[0]!.record.summary.started, 0);
});

test("50 parallel downloads each receive their own bytes", async t => {
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
