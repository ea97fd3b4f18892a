/** What an instance does while the store comes back from an older copy. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { RequestIdentity } from "@waxwingdale/relay";
import { createCrashSuspects } from "@waxwingdale/relay";
import { MemoryObjectStore } from "@waxwingdale/store";
import { StoreClient } from "../../store/test/store-client.js";
import { createCrashArchive, decodeReports } from "../src/crash-archive.js";
import { createTrialStart } from "../src/crash-trial.js";
import { bounds, createConfig, createServer, startInstance } from "./view-instance.js";
import type { Instance } from "./view-instance.js";

const graceMs = 2000;
/** Time in milliseconds in which every pending watch has ended once. */
const watchMs = 2600;

type ViewInstance = Instance<MemoryObjectStore>;

const start = () => startInstance(clock => new MemoryObjectStore(clock, { era: 1 }));

const write = async ({ store }: ViewInstance, key: string, value: unknown) =>
    store.put(key, value, (await store.get(key))?.version ?? 0);

const remove = async ({ store }: ViewInstance, key: string) =>
    store.delete(key, (await store.get(key))!.version);

interface ViewCase {
    name: string;
    /** Writes before the copy is taken, and after it: the latter are lost. */
    before?: (instance: ViewInstance) => Promise<unknown>;
    lose: (instance: ViewInstance) => Promise<unknown>;
    /** Writes of the new era. */
    write?: (instance: ViewInstance) => Promise<unknown>;
    read: (instance: ViewInstance) => unknown;
    inGrace: unknown;
    afterGrace: unknown;
}

const servers = (instance: ViewInstance) => instance.servers();
const zones = (instance: ViewInstance) => instance.evacuatedZones();

const viewCases: ViewCase[] = [
    {
        name: "a server that is draining stays so though the copy has it as ready",
        lose: instance => write(instance, "servers/s1", createServer("draining")),
        read: servers,
        inGrace: [],
        afterGrace: [],
    },
    {
        name: "a server that was removed while it was draining gets nothing though the copy has it as ready",
        lose: async instance => {
            await write(instance, "servers/s1", createServer("draining"));
            await instance.clock.advance(1000);
            await remove(instance, "servers/s1");
        },
        read: servers,
        inGrace: [],
        afterGrace: [],
    },
    {
        name: "a server whose entry lapsed is back after the grace time, if it is still there",
        before: instance =>
            Promise.all(
                ["s2", "s3", "s4"].map(id => write(instance, `servers/${id}`, createServer("draining"))),
            ),
        lose: instance => remove(instance, "servers/s1"),
        read: servers,
        inGrace: [],
        afterGrace: ["s1"],
    },
    {
        name: "the next process of a draining server is used",
        lose: instance => write(instance, "servers/s1", createServer("draining")),
        write: instance => write(instance, "servers/s1", createServer("ready", { born: 2 })),
        read: servers,
        inGrace: ["s1"],
        afterGrace: ["s1"],
    },
    {
        name: "an earlier process of a server is not taken for a later one",
        lose: instance => write(instance, "servers/s1", createServer("ready", { born: 2 })),
        read: ({ table }) => table.find("s1")?.record.startedAt,
        inGrace: 2,
        afterGrace: 2,
    },
    {
        name: "a server that the copy lacks is gone after the grace time",
        lose: instance => write(instance, "servers/s2", createServer("ready")),
        read: servers,
        inGrace: ["s1", "s2"],
        afterGrace: ["s1"],
    },
    {
        name: "an evacuation that the copy lacks holds for the grace time only",
        lose: instance => write(instance, "evacuations/n-b", {}),
        read: zones,
        inGrace: ["n-b"],
        afterGrace: [],
    },
    {
        name: "an evacuation that was lifted holds again while the copy has it",
        before: instance => write(instance, "evacuations/n-b", {}),
        lose: instance => remove(instance, "evacuations/n-b"),
        read: zones,
        inGrace: ["n-b"],
        afterGrace: ["n-b"],
    },
    {
        name: "a configuration of the copy does not replace a newer one",
        lose: instance => write(instance, "config/main", createConfig(5)),
        read: instance => instance.configVersion(),
        inGrace: 5,
        afterGrace: 5,
    },
    {
        name: "a configuration that is newer than all is applied though its revision is not",
        lose: instance => write(instance, "config/main", createConfig(5)),
        write: instance => write(instance, "config/main", createConfig(6)),
        read: instance => instance.configVersion(),
        inGrace: 6,
        afterGrace: 6,
    },
];

for (const { name, before, lose, write: writeAgain, read, inGrace, afterGrace } of viewCases) {
    test(name, async () => {
        const instance = await start();
        const { clock, store } = instance;
        await before?.(instance);
        await clock.advance(watchMs);
        const copy = store.copy();
        await lose(instance);
        await clock.advance(watchMs);
        store.restore(copy);
        await writeAgain?.(instance);
        await clock.advance(watchMs - 1000);
        assert.deepEqual(read(instance), inGrace);
        await clock.advance(graceMs + watchMs);
        assert.deepEqual(read(instance), afterGrace);
        await instance.stop();
    });
}

// Guards against a time until a change takes effect that grows while the store comes back, at any moment of the watches.
for (const [name, boundSeconds, key, value, isApplied] of [
    [
        "evacuation",
        bounds.evacuateSeconds,
        "evacuations/n-b",
        {},
        instance => zones(instance).includes("n-b"),
    ],
    [
        "drain",
        bounds.drainSeconds,
        "servers/s1",
        createServer("draining"),
        instance => servers(instance).length === 0,
    ],
    [
        "configuration",
        bounds.configApplySeconds,
        "config/main",
        createConfig(9),
        instance => instance.configVersion() === 9,
    ],
] as [string, number, string, unknown, (instance: ViewInstance) => boolean][]) {
    for (const isReached of [false, true]) {
        const suffix = isReached ? "that has been reached again" : "that is lower than before";
        test(`applies the ${name} of a new era in time, under a revision ${suffix}`, async () => {
            for (let offsetMs = 0; offsetMs < 3000; offsetMs += 250) {
                const instance = await start();
                const { clock, store } = instance;
                const copy = store.copy();
                for (let index = 0; index < 3; index++) {
                    await write(instance, "other/a", index);
                }
                await clock.advance(2000 + offsetMs);
                store.restore(copy);
                // The last write gets the revision up to which the instance has watched, or a lower one.
                for (let index = 0; index < (isReached ? 2 : 0); index++) {
                    await write(instance, "other/b", index);
                }
                await write(instance, key, value);
                await clock.advance(boundSeconds * 1000 - 100);
                assert.ok(isApplied(instance), `not applied in time with an offset of ${offsetMs} ms`);
                await instance.stop();
            }
        });
    }
}

const request: RequestIdentity = { request: "a", caller: () => "a.1" };

/** Starts instances that share a store, each with its own client. */
function startArchives(t: TestContext) {
    const clock = createManualClock(1_000_000);
    const server = new MemoryObjectStore(clock, { era: 1 });
    const logger = createSilentLogger();
    let crashed = 0;
    const startOne = (instanceId: string) => {
        const controller = new AbortController();
        t.after(() => controller.abort());
        const suspects = createCrashSuspects(clock);
        const store = new StoreClient(server);
        const options = { suspects, store, clock, logger };
        const archive = createCrashArchive({
            ...options,
            instanceId,
            random: () => 0,
            countInstances: () => 3,
        });
        void archive.run(controller.signal);
        const beginTrial = createTrialStart({ ...options, delayMs: () => 0 });
        const crash = (times: number) => {
            for (let count = 0; count < times; count++) {
                const sentAt = clock.now();
                clock.jump(1);
                suspects.recordCrash(request, { serverId: `i-${crashed++}`, sentAt, lostAt: clock.now() });
            }
        };
        return { suspects, store, beginTrial, crash };
    };
    const settle = async <Result>(result: Promise<Result>): Promise<Result> => {
        await clock.advance(500);
        return result;
    };
    const findReports = async (key: string) => {
        const stored = await server.get(key);
        return stored === undefined ? [] : (decodeReports(clock, stored) ?? []);
    };
    return { clock, server, startOne, settle, findReports };
}

// Guards against suspicions that only the lost writes had kept, and against a write under a void revision that repeats forever.
test("an instance writes its archive again after the store has lost it", async t => {
    const { clock, server, startOne, findReports } = startArchives(t);
    const first = startOne("g-1");
    await clock.advance(100);
    first.crash(1);
    await clock.advance(1000);
    const copy = server.copy();
    first.crash(3);
    await clock.advance(1000);
    server.restore(copy);
    await first.store.get("other/a");
    const { writes } = server.counters;
    await clock.advance(3000);
    const reports = await findReports("crash-suspects/of-g-1");
    assert.equal(reports.find(({ fingerprint }) => fingerprint === "a.1")?.crashes, 4);
    assert.ok(server.counters.writes - writes <= 3, `${server.counters.writes - writes} writes`);
    const restarted = startOne("g-2");
    await clock.advance(100);
    assert.ok(restarted.suspects.rejectedMs(request) > 0);
});

// Guards against a second trial of a request by an instance that finds the trial of another one lost.
test("an open trial is written again, and no other is begun before", async t => {
    const { clock, server, startOne, settle, findReports } = startArchives(t);
    const [first, second] = [startOne("g-1"), startOne("g-2")];
    await clock.advance(100);
    [first, second].forEach(({ crash }) => crash(2));
    const copy = server.copy();
    assert.equal(await settle(first.beginTrial(request)), true);
    server.restore(copy);
    await second.store.get("other/a");
    assert.equal(await settle(second.beginTrial(request)), false);
    await first.store.get("other/a");
    await clock.advance(3000);
    const [trial] = await findReports("crash-suspects/trial-a.1");
    assert.equal(trial?.trialSteps, 1);
    assert.equal(await settle(second.beginTrial(request)), false);
});

// Guards against a trial that is granted by a read or a write of which the instances of the new era know nothing.
for (const [name, afterMs] of [
    ["it is read", 20],
    ["it is written", 70],
] as const) {
    test(`a claim is not granted if the era changes while ${name}`, async t => {
        const { clock, server, startOne, settle } = startArchives(t);
        const first = startOne("g-1");
        await clock.advance(100);
        first.crash(2);
        await clock.advance(100);
        const copy = server.copy();
        server.faults.delayMs = 50;
        const claim = first.beginTrial(request);
        await clock.advance(afterMs);
        server.restore(copy);
        assert.equal(await settle(claim), false);
    });
}
