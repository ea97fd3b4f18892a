import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { MemberStatus, PeerUnreachableError, createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { Member, RpcHandler } from "@waxwingdale/core";
import { createCrashGuard, fingerprintRequest } from "@waxwingdale/claims";
import type { FingerprintInput, ManagedCrashGuard } from "@waxwingdale/claims";

const limits = { crashLimit: 2, quarantineSeconds: 600 };

function startGuards(ids: string[]) {
    const clock = createManualClock(1_000_000);
    const methods = new Map<string, RpcHandler>();
    /** Links between entries, as `from-to`, on which calls time out. */
    const cut = new Set<string>();
    const members = ids.map(id => ({ id, status: MemberStatus.Live, peerAddress: id }) as Member);
    const guards = ids.map(id =>
        createCrashGuard({
            view: {
                self: () => members.find(member => member.id === id)!,
                members: () => members,
                liveInRegion: () => members,
                find: other => members.find(member => member.id === other),
                onChange: () => () => undefined,
            },
            transport: {
                call: async <Result>(address: string, _method: string, params: unknown) => {
                    if (cut.has(`${id}-${address}`)) {
                        // A peer behind a network partition does not respond at all.
                        await clock.sleep(60_000);
                        throw new PeerUnreachableError("network partition");
                    }
                    await clock.sleep(5);
                    return methods.get(address)!(JSON.parse(JSON.stringify(params)), id) as Result;
                },
            },
            rpc: { addMethod: (_name, handler) => void methods.set(id, handler) },
            clock,
            logger: createSilentLogger(),
            limits: () => limits,
        }),
    );
    /** Reports a crash as the carrier does and returns how long that took. */
    const crash = async (index: number, fingerprint: string, serverId: string) => {
        const startedAt = clock.now();
        let elapsedMs: number | undefined;
        void guards[index]!.reportCrash(fingerprint, serverId).then(
            () => (elapsedMs = clock.now() - startedAt),
        );
        await clock.advance(1500);
        return elapsedMs;
    };
    const exchange = (a: ManagedCrashGuard, b: ManagedCrashGuard) => {
        b.merge(a.digest());
        a.merge(b.digest());
    };
    return { clock, cut, guards, crash, exchange };
}

test("a request that has crashed as many servers as the limit is rejected by every entry", async () => {
    const { guards, crash, clock } = startGuards(["a", "b", "c", "d"]);
    let crashed = 0;
    for (let repeat = 0; repeat < 10; repeat++) {
        const index = repeat % guards.length;
        if (!guards[index]!.isQuarantined("killer")) {
            const elapsedMs = await crash(index, "killer", `server-${crashed++}`);
            assert.ok(elapsedMs! < 100, "the report does not wait while all peers are reachable");
        }
    }
    assert.equal(crashed, limits.crashLimit);
    assert.ok(
        guards.every(guard => guard.isQuarantined("killer")),
        "an entry does not quarantine the request",
    );
    assert.ok(
        guards.every(guard => !guard.isSuspect("other")),
        "an unrelated request is a suspect",
    );
    await clock.advance(limits.quarantineSeconds * 1000);
    assert.ok(
        guards.every(guard => !guard.isQuarantined("killer")),
        "the quarantine ends",
    );
});

test("a request that completes is cleared on every entry", async () => {
    const { guards, crash, clock } = startGuards(["a", "b", "c"]);
    await crash(0, "innocent", "server-1");
    assert.ok(
        guards.every(guard => guard.isSuspect("innocent")),
        "a peer missed the report",
    );
    guards[1]!.reportSuccess("innocent");
    await clock.advance(100);
    assert.ok(
        guards.every(guard => !guard.isSuspect("innocent")),
        "a peer was not informed of the success",
    );
    await crash(2, "innocent", "server-2");
    assert.ok(
        guards.every(guard => !guard.isQuarantined("innocent")),
        "an innocent request is quarantined",
    );
});

test("two crashes of the same server count once", async () => {
    const { guards, crash } = startGuards(["a", "b"]);
    await crash(0, "r", "server-1");
    await crash(1, "r", "server-1");
    assert.ok(
        guards.every(guard => guard.isSuspect("r") && !guard.isQuarantined("r")),
        "one server counts twice",
    );
});

test("in a network partition each side quarantines the request by itself, and an exchange merges the crashes", async () => {
    const { guards, crash, cut, exchange } = startGuards(["a", "b"]);
    cut.add("a-b").add("b-a");
    const crashes = [0, 0];
    for (let repeat = 0; repeat < 8; repeat++) {
        const side = repeat % 2;
        if (!guards[side]!.isQuarantined("killer")) {
            const elapsedMs = await crash(side, "killer", `server-${repeat}`);
            assert.equal(elapsedMs, 1000, "an unreachable peer delays the report by the timeout only");
            crashes[side]!++;
        }
    }
    assert.deepEqual(crashes, [limits.crashLimit, limits.crashLimit]);
    await crash(0, "half", "server-1");
    await crash(1, "half", "server-2");
    exchange(guards[0]!, guards[1]!);
    assert.ok(
        guards.every(guard => guard.isQuarantined("half")),
        "the crashes of both sides do not add up",
    );
});

test("the digest of a peer that missed a success does not make the request a suspect again", async () => {
    const { guards, crash, cut, exchange, clock } = startGuards(["a", "b"]);
    await crash(0, "innocent", "server-1");
    cut.add("a-b");
    guards[0]!.reportSuccess("innocent");
    await clock.advance(100);
    exchange(guards[1]!, guards[0]!);
    assert.ok(
        guards.every(guard => !guard.isSuspect("innocent")),
        "a peer was not informed of the success",
    );
});

test("many fingerprints with one crash each do not evict a quarantined fingerprint", async () => {
    const { guards, crash } = startGuards(["a"]);
    await crash(0, "killer", "server-1");
    await crash(0, "killer", "server-2");
    for (let i = 0; i < 11_000; i++) {
        void guards[0]!.reportCrash(`flood-${i}`, "server-3");
    }
    assert.ok(guards[0]!.isQuarantined("killer"), "the quarantined fingerprint was evicted");
    assert.ok(guards[0]!.state().suspects <= 10_000, "the number of suspects is not bounded");
});

test("guards agree after an exchange, regardless of the order and duplication of reports", () => {
    const report = fc.record({
        fingerprint: fc.constantFrom("f", "g"),
        crashes: fc.array(
            fc.record({
                serverId: fc.constantFrom("s1", "s2", "s3"),
                reporter: fc.constantFrom("a", "b"),
                at: fc.integer({ min: 900_000, max: 900_003 }),
                cleared: fc.boolean(),
            }),
            { minLength: 1, maxLength: 4 },
        ),
    });
    fc.assert(
        fc.property(fc.array(report, { maxLength: 6 }), fc.array(report, { maxLength: 6 }), (left, right) => {
            const { guards, exchange } = startGuards(["a", "b"]);
            guards[0]!.merge([...left, ...right]);
            guards[1]!.merge([...right, ...right].reverse());
            exchange(guards[0]!, guards[1]!);
            for (const fingerprint of ["f", "g"]) {
                assert.equal(guards[0]!.isQuarantined(fingerprint), guards[1]!.isQuarantined(fingerprint));
                assert.equal(guards[0]!.isSuspect(fingerprint), guards[1]!.isSuspect(fingerprint));
            }
        }),
        { seed: 1, numRuns: 300 },
    );
});

test("every component of a request affects its fingerprint", () => {
    const input: FingerprintInput = {
        ...{ service: "s", method: "GET", path: "/p", query: "q=1", idempotencyKey: "k" },
        bodyPrefix: Buffer.from("b"),
    };
    const changes: Partial<FingerprintInput>[] = [
        { service: "s2" },
        { method: "PUT" },
        { path: "/p2" },
        { query: "" },
        { idempotencyKey: undefined },
        { bodyPrefix: Buffer.from("c") },
        { path: "/pq=1", query: "" },
    ];
    const all = [input, ...changes.map(change => ({ ...input, ...change }))].map(fingerprintRequest);
    assert.equal(new Set(all).size, all.length);
    assert.equal(fingerprintRequest({ ...input }), all[0]);
});
