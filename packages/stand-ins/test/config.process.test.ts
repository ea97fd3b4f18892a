/** Delivery of the manifest while operators conflict and the store fails. Each test guards against a reverted or missed push. */
import assert from "node:assert/strict";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "node:test";
import { Outcome } from "@waxwingdale/core";
import type { FleetEntry } from "@waxwingdale/stand-ins";
import { request } from "undici";
import { createTestManifest, send, sleep, until, useFleet } from "./fleet-fixture.js";

const limit = { timeout: 40_000 };
const options = { regions: ["east", "west"], entriesPerRegion: 2, servers: 1 };
const getFleet = useFleet(options);
/** Time in milliseconds for an accepted manifest to be in force everywhere. */
const inForceMs = 7000;

async function push(ttlSeconds: number, base: number): Promise<number> {
    const fleet = getFleet();
    const file = join(fleet.folder, `ttl-${ttlSeconds}.json`);
    await writeFile(file, JSON.stringify({ ...createTestManifest(options), lookup: { ttlSeconds } }));
    return (await fleet.runCommand(["push", file, "--base", String(base)])).code;
}

async function readTtl(entry: FleetEntry): Promise<number> {
    const res = await request(`http://${entry.callers}/v1/lookup?service=desk&client=127.1.0.1`);
    return ((await res.body.json()) as { ttlSeconds: number }).ttlSeconds;
}

/** Generations in force by entry; -1 when an entry does not answer. */
function readGenerations(): Promise<number[]> {
    const fleet = getFleet();
    return Promise.all(
        fleet.entries.map(async entry => (await fleet.status(entry))?.config.generation ?? -1),
    );
}

function untilGeneration(generation: number): Promise<void> {
    return until(`generation ${generation} at every entry`, inForceMs, async () =>
        (await readGenerations()).every(value => value === generation),
    );
}

test(
    "two pushes at the same moment: one is accepted, and the same one is in force everywhere",
    limit,
    async () => {
        const codes = await Promise.all([push(3, 1), push(4, 1)]);
        await untilGeneration(2);
        assert.deepEqual([...codes].sort(), [0, 3]);
        const accepted = codes[0] === 0 ? 3 : 4;
        const ttls = await Promise.all(getFleet().entries.map(readTtl));
        assert.deepEqual(ttls, [accepted, accepted, accepted, accepted]);
    },
);

test(
    "store down right after acceptance, known to one entry: in force everywhere by its peers",
    limit,
    async () => {
        const fleet = getFleet();
        const [first, ...rest] = fleet.entries;
        rest.forEach(({ process }) => process.child.kill("SIGSTOP"));
        try {
            assert.equal(await push(3, 2), 0);
            await until("the first entry has it", inForceMs, async () => {
                const status = await fleet.status(first!);
                return status?.config.generation === 3;
            });
            await fleet.setStoreFaults({ down: true });
        } finally {
            rest.forEach(({ process }) => process.child.kill("SIGCONT"));
        }
        await untilGeneration(3);
    },
);

test("push while the store is down: exit code 4 and nothing changes", limit, async () => {
    await getFleet().setStoreFaults({ down: true });
    assert.equal(await push(9, 3), 4);
    await getFleet().setStoreFaults({});
    await sleep(2000);
    assert.deepEqual(await readGenerations(), [3, 3, 3, 3]);
});

test("stale reads of the store: no entry goes back to an older generation", limit, async () => {
    const fleet = getFleet();
    assert.equal(await push(4, 3), 0);
    await untilGeneration(4);
    await fleet.setStoreFaults({ staleReadsMs: 20_000 });
    const end = Date.now() + 5000;
    while (Date.now() < end) {
        assert.deepEqual(await readGenerations(), [4, 4, 4, 4]);
        await sleep(50);
    }
    await fleet.setStoreFaults({});
});

test(
    "an entry starts from seeds while the store is down: it gets the manifest, is ready and answers",
    limit,
    async () => {
        const fleet = getFleet();
        await fleet.setStoreFaults({ down: true });
        const seeds = fleet.entries.map(({ peers }) => peers);
        const entry = await fleet.startEntry("east", "a", "entry-east-late", { seeds });
        await until("the late entry has the manifest", inForceMs, async () => {
            const status = await fleet.status(entry);
            return status?.config.generation === 4;
        });
        let notReady: string | undefined;
        await until("the late entry is ready", 10_000, async () => {
            const status = await fleet.status(entry);
            notReady = status?.notReady;
            return status?.ready === true;
        }).catch((err: Error) => assert.fail(`${err.message} (${notReady})`));
        assert.equal((await send(entry, { path: "/items/1" })).outcome, Outcome.Ran);
        await fleet.setStoreFaults({});
    },
);
