import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { request } from "undici";
import { findUnusedAddress, startFixture } from "./carrier-fixture.js";
import { Act, createBody, lateMs, startFaultyServer } from "./faulty-server.js";
import type { Step } from "./faulty-server.js";

interface Call {
    write: boolean;
    /** What the first and the second server do with the request. */
    steps: [Step, Step];
}

interface Scenario {
    /** Calls of one batch run in parallel; the next batch finds the connections that the last one left. */
    batches: Call[][];
    dropped: number[];
    isFirstDead: boolean;
}

interface Statement {
    outcome: string | undefined;
    body: string;
}

// fc.double draws most of its values close to 0, which would cut almost every answer in its head.
const share = fc.integer({ min: 0, max: 100 }).map(percent => percent / 100);
const step: fc.Arbitrary<Step> = fc.record({
    act: fc.constantFrom(...Object.values(Act)),
    splits: fc.array(share, { minLength: 1, maxLength: 4 }),
    chunked: fc.boolean(),
});
const call: fc.Arbitrary<Call> = fc.record({ write: fc.boolean(), steps: fc.tuple(step, step) });
const scenario: fc.Arbitrary<Scenario> = fc.record({
    batches: fc.array(fc.array(call, { minLength: 1, maxLength: 6 }), { minLength: 1, maxLength: 4 }),
    dropped: fc.array(fc.nat(6), { maxLength: 2 }),
    isFirstDead: fc.boolean(),
});

async function callCarrier(url: string, nonce: string, write: boolean): Promise<Statement | undefined> {
    try {
        const headers = { "waxwingdale-deadline-ms": String(lateMs / 2) };
        // An answer that neither ends nor is reset would otherwise hold the test up.
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
        // A reset of the caller's connection states nothing.
        return undefined;
    }
}

async function checkScenario({ batches, dropped, isFirstDead }: Scenario): Promise<void> {
    const plans = new Map<string, Call>();
    const start = (index: 0 | 1) =>
        startFaultyServer(nonce => plans.get(nonce)!.steps[index], index === 0 ? dropped : []);
    const servers = [await start(0), await start(1)];
    const addresses = servers.map(({ address }) => address);
    const fixture = await startFixture(
        [],
        isFirstDead ? [await findUnusedAddress(), addresses[1]!] : addresses,
    );
    try {
        for (const batch of batches) {
            const nonces = batch.map(item => {
                const nonce = `n${plans.size}`;
                plans.set(nonce, item);
                return nonce;
            });
            const statements = await Promise.all(
                batch.map(({ write }, i) => callCarrier(fixture.url, nonces[i]!, write)),
            );
            statements.forEach((statement, i) => {
                const reads = servers.flatMap(server =>
                    server.reads.filter(read => read.nonce === nonces[i]),
                );
                checkStatement(nonces[i]!, statement, reads);
            });
        }
    } finally {
        await fixture.close();
        await Promise.all(servers.map(server => server.close()));
    }
}

function checkStatement(
    nonce: string,
    statement: Statement | undefined,
    reads: { refused: boolean; answered: boolean }[],
): void {
    switch (statement?.outcome) {
        case undefined:
            return;
        case "not-run":
            assert.ok(
                reads.every(({ refused }) => refused),
                `${nonce} was read by a server and is said not to have run`,
            );
            break;
        case "ran":
            assert.equal(statement.body, createBody(nonce));
            assert.ok(
                reads.some(({ answered }) => answered),
                `${nonce} has no full answer`,
            );
            return;
    }
    assert.ok(!statement!.body.includes("nonce="), `${nonce} got bytes of a server without having run`);
}

// Guards against a false "not run" or "ran", and against bytes that belong to another request.
test("no fault of a server makes a false statement", { timeout: 30_000 }, async () => {
    await fc.assert(fc.asyncProperty(scenario, checkScenario), { numRuns: 40, seed: 1 });
});
