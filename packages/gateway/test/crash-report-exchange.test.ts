import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus, createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { Member, MemberView, RpcHandler } from "@waxwingdale/core";
import { createCrashSuspects } from "@waxwingdale/relay";
import type { CrashSuspects, RequestIdentity } from "@waxwingdale/relay";
import { createCrashReportExchange } from "../src/crash-report-exchange.js";

const createMember = (id: string, status: MemberStatus): Member => ({
    id,
    incarnation: 1,
    session: 1,
    status,
    region: "north",
    zone: "n-a",
    callerAddress: `${id}:1`,
    peerAddress: `${id}:2`,
    ready: true,
});

function setUp() {
    const clock = createManualClock();
    const suspects = createCrashSuspects(clock);
    const calls: { peerAddress: string; reports: unknown }[] = [];
    const handlers = new Map<string, RpcHandler>();
    const members = [
        createMember("g-1", MemberStatus.Live),
        createMember("g-2", MemberStatus.Live),
        createMember("g-3", MemberStatus.Suspect),
        createMember("g-4", MemberStatus.Dead),
    ];
    const view = { self: () => members[0]!, members: () => members } as unknown as MemberView;
    const exchange = createCrashReportExchange({
        suspects,
        members: () => view,
        transport: {
            call: async <Result>(peerAddress: string, _method: string, reports: unknown) => {
                calls.push({ peerAddress, reports });
                return {} as Result;
            },
        },
        rpc: { addMethod: (name, handler) => void handlers.set(name, handler) },
        clock,
        logger: createSilentLogger(),
        onMerged: () => undefined,
    });
    return { clock, suspects, calls, exchange, receive: handlers.get("crashes.report")! };
}

const secondCrash = {
    epoch: 0,
    crashes: 2,
    ageMs: 0,
    crashAgeMs: 0,
    servers: ["i-1", "i-0"],
};

const identify = (request: string, caller = "1"): RequestIdentity => ({
    request,
    caller: () => `${request}.${caller}`,
});

function crash(suspects: CrashSuspects, request: string, times: number): void {
    for (let count = 0; count < times; count++) {
        suspects.recordCrash(identify(request), { serverId: `i-${count}`, sentAt: 0, lostAt: 0 });
    }
}

test("a change goes to all peers that are not dead, in one call for several", async () => {
    const { clock, suspects, calls } = setUp();
    crash(suspects, "a", 2);
    crash(suspects, "b", 2);
    crash(suspects, "c", 1);
    await clock.advance(10);
    const reports = ["a", "b"].flatMap(request => [
        { ...secondCrash, fingerprint: `${request}.1` },
        { ...secondCrash, fingerprint: request, source: `${request}.1`, isShared: false },
    ]);
    assert.deepEqual(calls, [
        { peerAddress: "g-2:2", reports },
        { peerAddress: "g-3:2", reports },
    ]);
});

test("what a peer reports is known and not sent on", async () => {
    const { clock, suspects, calls, receive } = setUp();
    receive([{ fingerprint: "a", epoch: 0, crashes: 3, ageMs: 0 }], "g-2");
    await clock.advance(100);
    assert.ok(suspects.rejectedMs(identify("a")) > 0);
    assert.deepEqual(calls, []);
});

test("malformed reports of a peer change nothing", () => {
    const { suspects, receive, exchange } = setUp();
    const malformed = [
        undefined,
        "reports",
        {},
        [{ fingerprint: "a", epoch: 0 }],
        [{ fingerprint: "a".repeat(65), epoch: 0, crashes: 3, ageMs: 0 }],
        [{ fingerprint: "a", epoch: -1, crashes: 3, ageMs: 0 }],
        [{ fingerprint: "a", epoch: 0, crashes: Infinity, ageMs: 0 }],
        [{ fingerprint: "a", epoch: 0, crashes: 3, ageMs: 0, crashAgeMs: "0" }],
        [{ fingerprint: "a", epoch: 0, crashes: 3, ageMs: 0, source: "a".repeat(65) }],
        [{ fingerprint: "a", epoch: 0, crashes: 3, ageMs: 0, servers: ["i".repeat(257)] }],
        Array.from({ length: 9 }, () => ({ fingerprint: "a", epoch: 0, crashes: 3, ageMs: 0 })),
    ];
    for (const reports of malformed) {
        receive(reports, "g-2");
        exchange.handleReports(reports);
    }
    assert.ok(suspects.isEmpty());
});

test("digests go through all reports, a few at a time", () => {
    const { suspects, exchange } = setUp();
    for (let index = 0; index < 20; index++) {
        crash(suspects, `r${index}`, 1);
    }
    const seen = new Set<unknown>();
    // There are two reports of each request: of its caller, and of all.
    for (let count = 0; count < 5; count++) {
        const digest = exchange.getDigest() as { fingerprint: string }[];
        assert.ok(digest.length <= 8);
        digest.forEach(({ fingerprint }) => seen.add(fingerprint));
    }
    assert.equal(seen.size, 40);
});

/** Guards against an instance that starts and hears of many first crashes before a request to reject (BUDGET). */
test("a digest names a request to reject, however many first crashes there are", () => {
    const { suspects, exchange } = setUp();
    crash(suspects, "bad", 3);
    for (let index = 0; index < 1000; index++) {
        crash(suspects, `r${index}`, 1);
    }
    const digest = exchange.getDigest() as { fingerprint: string }[];
    assert.ok(digest.some(({ fingerprint }) => fingerprint === "bad.1"));
    assert.equal(digest.length, 8);
});

// Guards against a fleet in which instances of two versions do not understand each other's reports.
test("a report without the fields of later versions concerns all callers", () => {
    const { suspects, receive } = setUp();
    receive([{ fingerprint: "a", epoch: 0, crashes: 3, ageMs: 0 }], "g-2");
    assert.ok(suspects.rejectedMs(identify("a", "other")) > 0);
});
