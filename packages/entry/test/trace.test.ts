import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createRequestRecords } from "@waxwingdale/carrier";
import type { RequestRecord } from "@waxwingdale/carrier";
import {
    ClaimState,
    Outcome,
    ReasonCode,
    RequestClass,
    createManualClock,
    createSilentLogger,
} from "@waxwingdale/core";
import type { ClaimService } from "@waxwingdale/core";
import { createTraceRecorder, parseTrace } from "@waxwingdale/trace";
import { Registry } from "prom-client";
import { createOperatorApp } from "../src/operator-listener.js";
import { createTraceTap } from "../src/trace-tap.js";

const fleetKey = "a-key-of-the-fleet";

function createTap() {
    const clock = createManualClock(1000);
    const recorder = createTraceRecorder({ entry: "north-1", region: "north", clock });
    const tap = createTraceTap({ recorder, entry: "north-1", clock, fleetKey });
    const claims = tap.instrumentClaims({
        begin: async () => ({ state: ClaimState.Granted }),
    } as Partial<ClaimService> as ClaimService);
    const begin = (attemptId: string, key: string) =>
        claims.begin({ service: "register", key, attemptId, requestHash: "", deadlineAt: 0 });
    const finish = (id: string, reason?: ReasonCode) => tap.recordRequest(createRecord(id, reason));
    const read = () => parseTrace(recorder.lines().join("\n"), "x").map(({ event }) => event);
    return { recorder, begin, finish, read };
}

function createRecord(id: string, reason: ReasonCode | undefined): RequestRecord {
    return {
        id,
        startedAt: new Date(5000).toISOString(),
        client: "10.1.0.1",
        service: "register",
        route: "record-test",
        requestClass: RequestClass.Write,
        home: "north",
        region: "north",
        regionReason: undefined,
        attempts: [{ target: "register-1", region: "north", waitedMs: 1.23456, ms: 5, result: "ran" }],
        status: 200,
        outcome: Outcome.Ran,
        reason,
        totalMs: 7,
        requestBytes: 1,
        responseBytes: 1,
    };
}

// Guards against callers' keys in traces that operators share, and against a different hash for the same key.
test("a trace contains the hash of an idempotency key but never the key", async () => {
    const { recorder, begin, finish, read } = createTap();
    recorder.start(60);
    await begin("r1", "certificate-7");
    await begin("r2", "certificate-7");
    await begin("r3", "certificate-8");
    finish("r1");
    finish("r2", ReasonCode.Replayed);
    finish("r3");
    finish("r4");
    const requests = read().flatMap(event => (event.type === "request" ? [event] : []));
    const [first, second, third, unclaimed] = requests.map(row => row.keyHash);
    assert.match(first!, /^[0-9a-f]{16}$/);
    assert.equal(second, first);
    assert.notEqual(third, first);
    assert.equal(unclaimed, undefined);
    assert.deepEqual(
        requests.map(row => row.replayed),
        [false, true, false, false],
    );
    assert.ok(!recorder.lines().join("\n").includes("certificate-"), "the trace contains an idempotency key");
});

test("requests are not kept while no recording is running", async () => {
    const { recorder, begin, finish } = createTap();
    await begin("r1", "certificate-7");
    finish("r1");
    assert.equal(recorder.lines().length, 1);
});

// Guards against recordings that are started without the fleet key or have no time limit.
test("the operator listener starts a recording and streams it", async () => {
    const { recorder, finish } = createTap();
    const app = createOperatorApp({
        fleetKey,
        logger: createSilentLogger(),
        records: createRequestRecords(1),
        directory: { lookup: () => undefined },
        services: () => [],
        registry: new Registry(),
        trace: recorder,
        getNotReadyReason: () => undefined,
        status: () => ({}),
        dump: () => ({}),
    });
    const server = createServer((req, res) => void app.handler(req as never, res as never));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/trace`;
    const headers = { authorization: `Bearer ${fleetKey}` };
    const put = (query: string) => fetch(`${url}${query}`, { method: "PUT", headers });
    try {
        assert.equal((await fetch(url, { method: "PUT" })).status, 401);
        for (const seconds of ["0", "3601", "x", "1.5", "-1"]) {
            assert.equal((await put(`?seconds=${seconds}`)).status, 400, seconds);
        }
        assert.equal(recorder.isRecording(), false);
        assert.deepEqual(await (await put("")).json(), { seconds: 60 });
        for (let i = 0; i < 500; i++) {
            finish(`r${i}`);
        }
        const text = await (await fetch(url, { headers })).text();
        assert.equal(text, `${recorder.lines().join("\n")}\n`);
        assert.equal(recorder.lines().length, 501);
    } finally {
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
        recorder.close();
    }
});
