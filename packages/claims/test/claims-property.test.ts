import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ClaimState, ClaimsUnavailableError, MemberStatus } from "@waxwingdale/core";
import type { ClaimOutcome, ClaimRequest, ClaimService } from "@waxwingdale/core";
import { createFleet } from "./claims-harness.js";
import type { FleetNode, NetworkFaults } from "./claims-harness.js";

const allIds = ["a", "b", "c", "d"];
const keys = ["k0", "k1", "k2"];
const maxWritesPerSecond = 100;

const node = fc.constantFrom(...allIds);
const duration = fc.integer({ min: 10, max: 4000 });
const command = fc.oneof(
    {
        weight: 12,
        arbitrary: fc.record({
            kind: fc.constant("begin" as const),
            node,
            key: fc.constantFrom(...keys),
            runMs: fc.integer({ min: 0, max: 800 }),
            end: fc.constantFrom<ClaimOutcome["kind"]>("not-run", "unknown", "ran", "ran"),
            deadlineMs: fc.integer({ min: 200, max: 6000 }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("store-down" as const), ms: duration }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("store-slow" as const),
            delayMs: fc.integer({ min: 0, max: 1500 }),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("lose-responses" as const),
            lost: fc.integer({ min: 0, max: 2 }),
            delayed: fc.integer({ min: 0, max: 2 }),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("network" as const),
            lossRate: fc.constantFrom(0, 0.2, 0.5),
            duplicateRate: fc.constantFrom(0, 0.3),
            maxDelayMs: fc.constantFrom(2, 100, 1500),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart" as const), node, ms: duration }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("pause" as const), node, ms: duration }) },
    {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("declare-dead" as const), node, about: node, ms: duration }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("jump" as const), ms: duration }) },
);
type Command = typeof command extends fc.Arbitrary<infer Value> ? Value : never;
const step = fc.record({ command, waitMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 1500 })) });

/** Checks each result against the effects of the previous attempts. */
function createModel(ids: string[], seed: number) {
    const fleet = createFleet(ids, { seed, limits: { shards: 2, maxWritesPerSecond } });
    /** The granted attempt of each key, unless it is known not to have run. */
    const openAttempts = new Map<string, string>();
    const holders = new Map<string, FleetNode>();
    let attempts = 0;
    let restarts = 0;

    const begin = async (
        id: string,
        key: string,
        runMs: number,
        end: ClaimOutcome["kind"],
        deadlineMs: number,
    ) => {
        const { service, isCrashed } = fleet.nodes.get(id)!;
        if (isCrashed) {
            return undefined;
        }
        const attemptId = `${key}/${attempts++}`;
        const deadlineAt = fleet.clock.now() + deadlineMs;
        const req: ClaimRequest = { service: "register", key, attemptId, requestHash: key, deadlineAt };
        const storedBefore = findAcknowledged(key);
        const hadFault = isStoreFaulty();
        const result = await service.begin(req).catch((err: unknown) => {
            assert.ok(err instanceof ClaimsUnavailableError, String(err));
            return undefined;
        });
        const current = fleet.nodes.get(id)!;
        if (result === undefined || current.isCrashed || current.service !== service) {
            return undefined;
        }
        if (result.state === ClaimState.Granted) {
            assert.equal(
                openAttempts.get(key),
                undefined,
                `${attemptId} granted while ${openAttempts.get(key)} may have run`,
            );
            assert.ok(fleet.store.committed.has(attemptId), `${attemptId} granted before its commit`);
            openAttempts.set(key, attemptId);
            holders.set(attemptId, fleet.nodes.get(id)!);
            fleet.clock.setTimer(runMs, () => endAttempt(req, end, service));
        } else if (storedBefore !== undefined && !(hadFault && result.state === ClaimState.Running)) {
            assert.equal(result.state, ClaimState.Finished, `${attemptId} after ${storedBefore}`);
        }
        if (result.state === ClaimState.Finished) {
            assert.equal(JSON.stringify(result.response), findStored(key));
        }
        return result.state;
    };

    const endAttempt = (req: ClaimRequest, end: ClaimOutcome["kind"], service: ClaimService) => {
        if ([...fleet.nodes.values()].every(node => node.service !== service || node.isCrashed)) {
            return;
        }
        if (end === "not-run") {
            openAttempts.delete(req.key);
        }
        const response = { status: 201, headers: { "x-attempt": req.attemptId }, body: "Yg==" };
        service.finish(req, end === "ran" ? { kind: end, response } : { kind: end });
    };

    const findStored = (key: string) =>
        [...fleet.store.finished].find(([attemptId]) => attemptId.startsWith(`${key}/`))?.[1];
    /** Returns the stored outcome of a key if its owner has acknowledged it to the entry. */
    const findAcknowledged = (key: string) => {
        const attemptId = openAttempts.get(key);
        const holder = attemptId === undefined ? undefined : holders.get(attemptId)!;
        if (holder === undefined || holder.isCrashed) {
            return undefined;
        }
        const query = { session: holder.service.state().session, attemptId };
        const { active } = holder.methods.get("claims.attempt")!(query, "test") as { active: boolean };
        return active ? undefined : findStored(key);
    };
    const isStoreFaulty = () => fleet.store.inner.faults.down || fleet.store.inner.faults.delayMs > 0;

    const schedule = (ms: number, run: () => void) => void fleet.clock.setTimer(ms, run);

    const restart = (id: string, ms: number) => {
        if (!fleet.nodes.get(id)!.isCrashed) {
            restarts++;
            fleet.crash(id);
            schedule(ms / 2, () => fleet.syncViews());
            schedule(ms, () => {
                fleet.restart(id);
                schedule(500, () => fleet.syncViews());
            });
        }
    };

    const apply = (cmd: Command, failures: unknown[]) => {
        const { faults } = fleet.store.inner;
        switch (cmd.kind) {
            case "begin":
                begin(cmd.node, cmd.key, cmd.runMs, cmd.end, cmd.deadlineMs).catch((err: unknown) =>
                    failures.push(err),
                );
                return;
            case "store-down":
                faults.down = true;
                schedule(cmd.ms, () => (faults.down = false));
                return;
            case "store-slow":
                faults.delayMs = cmd.delayMs;
                return;
            case "lose-responses":
                faults.loseWriteAnswers = cmd.lost;
                fleet.store.delayedWrites = cmd.delayed;
                return;
            case "network":
                setNetwork(cmd);
                return;
            case "restart":
                restart(cmd.node, cmd.ms);
                return;
            case "pause": {
                const paused = fleet.nodes.get(cmd.node)!;
                paused.pause();
                schedule(cmd.ms, () => paused.resume());
                return;
            }
            case "declare-dead":
                if (cmd.node !== cmd.about) {
                    fleet.nodes.get(cmd.node)!.updateMember(cmd.about, { status: MemberStatus.Dead });
                    schedule(cmd.ms, () => fleet.syncViews());
                }
                return;
            case "jump":
                fleet.clock.jump(cmd.ms);
                return;
        }
    };

    const setNetwork = ({ lossRate, duplicateRate, maxDelayMs }: NetworkFaults) =>
        Object.assign(fleet.network, { lossRate, duplicateRate, maxDelayMs });

    /** Ends all faults and waits until the fleet has recovered. */
    const endFaults = async () => {
        Object.assign(fleet.store.inner.faults, { down: false, delayMs: 0, loseWriteAnswers: 0 });
        fleet.store.delayedWrites = 0;
        setNetwork({ lossRate: 0, duplicateRate: 0, maxDelayMs: 2 });
        await fleet.clock.advance(20_000);
        fleet.syncViews();
        await fleet.clock.advance(20_000);
    };

    return { fleet, openAttempts, begin, apply, endFaults, countRestarts: () => restarts };
}

async function runScenario(
    size: number,
    steps: { command: Command; waitMs: number }[],
    seed: number,
): Promise<void> {
    const ids = allIds.slice(0, size);
    const model = createModel(ids, seed);
    const failures: unknown[] = [];
    ids.forEach(id => model.fleet.start(id));
    for (const { command: cmd, waitMs } of steps) {
        const nodeIds = [...("node" in cmd ? [cmd.node] : []), ...("about" in cmd ? [cmd.about] : [])];
        if (nodeIds.every(id => ids.includes(id))) {
            model.apply(cmd, failures);
        }
        await model.fleet.clock.advance(waitMs);
    }
    await model.endFaults();
    for (const key of keys) {
        const wasOpen = model.openAttempts.has(key);
        let state: ClaimState | undefined;
        void model
            .begin("a", key, 0, "unknown", 4000)
            .then(result => (state = result))
            .catch((err: unknown) => failures.push(err));
        await model.fleet.clock.advance(5000);
        assert.deepEqual(failures, []);
        if (!wasOpen && model.countRestarts() === 0) {
            assert.equal(state, ClaimState.Granted, `${key} is blocked by an attempt that did not run`);
        }
        assert.notEqual(state, undefined, `${key} has no result`);
    }
    checkWrites(model.fleet.store.writeTimes, ids.length + model.countRestarts());
    for (const { service } of model.fleet.nodes.values()) {
        assert.equal(service.state().unacknowledged, 0);
    }
}

/** While views differ or processes start, every entry may use its full burst and rate. */
function checkWrites(times: number[], processes: number): void {
    for (const [index, time] of times.entries()) {
        const inSecond = times.slice(index).filter(other => other < time + 1000).length;
        assert.ok(
            inSecond <= maxWritesPerSecond * Math.min(2, processes) + 1,
            `${inSecond} writes in one second`,
        );
    }
}

// The default seed makes the test reproducible; CLAIMS_SEED and CLAIMS_RUNS extend the search.
const searchOptions = {
    seed: Number(process.env["CLAIMS_SEED"] ?? 1),
    numRuns: Number(process.env["CLAIMS_RUNS"] ?? 400),
    includeErrorInReport: true,
};

test("no key runs twice and no outcome is lost under any combination of faults", async () => {
    const steps = fc.array(step, { minLength: 5, maxLength: 40 });
    await fc.assert(
        fc.asyncProperty(
            fc.integer({ min: 2, max: 4 }),
            steps,
            fc.integer({ min: 1, max: 1e6 }),
            runScenario,
        ),
        searchOptions,
    );
});
