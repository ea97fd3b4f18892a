import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { request } from "undici";
import { findUnusedAddress, startFixture } from "./carrier-fixture.js";
import { ServerAction, createBody, lateResponseDelayMs, startFaultyServer } from "./faulty-server.js";
import type { ServerStep } from "./faulty-server.js";

interface Call {
    write: boolean;
    /** How the first and the second server respond to the request. */
    steps: [ServerStep, ServerStep];
}

interface Scenario {
    /** Calls of a batch run in parallel. The next batch reuses the connections of the previous one. */
    batches: Call[][];
    dropped: number[];
    isFirstUnreachable: boolean;
}

interface ReportedOutcome {
    outcome: string | undefined;
    body: string;
}

// fc.double mostly generates values close to 0, which would truncate nearly every response in its head.
const fraction = fc.integer({ min: 0, max: 100 }).map(percent => percent / 100);
const step: fc.Arbitrary<ServerStep> = fc.record({
    action: fc.constantFrom(...Object.values(ServerAction)),
    splits: fc.array(fraction, { minLength: 1, maxLength: 4 }),
    chunked: fc.boolean(),
});
const call: fc.Arbitrary<Call> = fc.record({ write: fc.boolean(), steps: fc.tuple(step, step) });
const scenario: fc.Arbitrary<Scenario> = fc.record({
    batches: fc.array(fc.array(call, { minLength: 1, maxLength: 6 }), { minLength: 1, maxLength: 4 }),
    dropped: fc.array(fc.nat(6), { maxLength: 2 }),
    isFirstUnreachable: fc.boolean(),
});

async function callCarrier(url: string, nonce: string, write: boolean): Promise<ReportedOutcome | undefined> {
    try {
        const headers = { "waxwingdale-deadline-ms": String(lateResponseDelayMs / 2) };
        // Bounds the wait for a response that neither ends nor is reset.
        const bodyTimeout = 1000;
        const res = write
            ? await request(`${url}/register/certificates/${nonce}`, {
                  method: "POST",
                  headers: { ...headers, "idempotency-key": nonce },
                  body: `{"for":"${nonce}"}`,
                  bodyTimeout,
              })
            : await request(`${url}/register/detectors/${nonce}`, { headers, bodyTimeout });
        return {
            outcome: res.headers["waxwingdale-outcome"] as string | undefined,
            body: await res.body.text(),
        };
    } catch {
        // If the caller's connection is reset, no outcome is reported.
        return undefined;
    }
}

async function checkScenario({ batches, dropped, isFirstUnreachable }: Scenario): Promise<void> {
    const calls = new Map<string, Call>();
    const start = (index: 0 | 1) =>
        startFaultyServer(nonce => calls.get(nonce)!.steps[index], index === 0 ? dropped : []);
    const servers = [await start(0), await start(1)];
    const addresses = servers.map(({ address }) => address);
    const fixture = await startFixture(
        [],
        isFirstUnreachable ? [await findUnusedAddress(), addresses[1]!] : addresses,
    );
    try {
        for (const batch of batches) {
            const nonces = batch.map(item => {
                const nonce = `n${calls.size}`;
                calls.set(nonce, item);
                return nonce;
            });
            const reportedOutcomes = await Promise.all(
                batch.map(({ write }, i) => callCarrier(fixture.url, nonces[i]!, write)),
            );
            reportedOutcomes.forEach((reported, i) => {
                const reads = servers.flatMap(server =>
                    server.reads.filter(read => read.nonce === nonces[i]),
                );
                checkReportedOutcome(nonces[i]!, reported, reads);
            });
        }
    } finally {
        await fixture.close();
        await Promise.all(servers.map(server => server.close()));
    }
}

function checkReportedOutcome(
    nonce: string,
    reported: ReportedOutcome | undefined,
    reads: { refused: boolean; answered: boolean }[],
): void {
    switch (reported?.outcome) {
        case undefined:
            return;
        case "not-run":
            assert.ok(
                reads.every(({ refused }) => refused),
                `${nonce} was read by a server but is reported as not run`,
            );
            break;
        case "ran":
            assert.equal(reported.body, createBody(nonce));
            assert.ok(
                reads.some(({ answered }) => answered),
                `${nonce} has no complete response`,
            );
            return;
    }
    assert.ok(
        !reported!.body.includes("nonce="),
        `${nonce} is not reported as run but has bytes of a server`,
    );
}

// Guards against a wrong "not-run" or "ran" outcome, and against bytes that belong to another request.
test("the reported outcome is correct for all faults of a server", { timeout: 30_000 }, async () => {
    await fc.assert(fc.asyncProperty(scenario, checkScenario), { numRuns: 40, seed: 1 });
});
