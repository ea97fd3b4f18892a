/** Guards against a reverted or missed push of a manifest when pushes conflict or the store fails. */
import assert from "node:assert/strict";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "node:test";
import { Outcome } from "@waxwingdale/core";
import type { FleetEntry } from "@waxwingdale/stand-ins";
import { request } from "undici";
import { createTestManifest, sendRequest, sleep, waitUntil, useFleet } from "./fleet-fixture.js";

const testOptions = { timeout: 40_000 };
const options = { regions: ["east", "west"], entriesPerRegion: 2, servers: 1 };
const getFleet = useFleet(options);
/** Timeout for an accepted manifest to take effect at every entry, in milliseconds. */
const activationTimeoutMs = 7000;

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

/** Returns the active generation of each entry; -1 if an entry does not respond. */
function readGenerations(): Promise<number[]> {
    const fleet = getFleet();
    return Promise.all(
        fleet.entries.map(async entry => (await fleet.status(entry))?.config.generation ?? -1),
    );
}

function waitForGeneration(generation: number): Promise<void> {
    return waitUntil(`generation ${generation} at every entry`, activationTimeoutMs, async () =>
        (await readGenerations()).every(value => value === generation),
    );
}

test("two concurrent pushes: one is accepted and takes effect at every entry", testOptions, async () => {
    const codes = await Promise.all([push(3, 1), push(4, 1)]);
    await waitForGeneration(2);
    assert.deepEqual([...codes].sort(), [0, 3]);
    const accepted = codes[0] === 0 ? 3 : 4;
    const ttls = await Promise.all(getFleet().entries.map(readTtl));
    assert.deepEqual(ttls, [accepted, accepted, accepted, accepted]);
});

test(
    "store down after one entry received the accepted manifest: the other entries receive it from that peer",
    testOptions,
    async () => {
        const fleet = getFleet();
        const [first, ...rest] = fleet.entries;
        rest.forEach(({ process }) => process.child.kill("SIGSTOP"));
        try {
            assert.equal(await push(3, 2), 0);
            await waitUntil("the first entry has the manifest", activationTimeoutMs, async () => {
                const status = await fleet.status(first!);
                return status?.config.generation === 3;
            });
            await fleet.setStoreFaults({ down: true });
        } finally {
            rest.forEach(({ process }) => process.child.kill("SIGCONT"));
        }
        await waitForGeneration(3);
    },
);

test("push while the store is down: exit code 4 and no change", testOptions, async () => {
    await getFleet().setStoreFaults({ down: true });
    assert.equal(await push(9, 3), 4);
    await getFleet().setStoreFaults({});
    await sleep(2000);
    assert.deepEqual(await readGenerations(), [3, 3, 3, 3]);
});

test("stale store reads: no entry reverts to an older generation", testOptions, async () => {
    const fleet = getFleet();
    assert.equal(await push(4, 3), 0);
    await waitForGeneration(4);
    await fleet.setStoreFaults({ staleReadsMs: 20_000 });
    const end = Date.now() + 5000;
    while (Date.now() < end) {
        assert.deepEqual(await readGenerations(), [4, 4, 4, 4]);
        await sleep(50);
    }
    await fleet.setStoreFaults({});
});

test(
    "an entry that starts from seeds while the store is down gets the manifest, becomes ready and serves requests",
    testOptions,
    async () => {
        const fleet = getFleet();
        await fleet.setStoreFaults({ down: true });
        const seeds = fleet.entries.map(({ peers }) => peers);
        const entry = await fleet.startEntry("east", "a", "entry-east-late", { seeds });
        await waitUntil("the late entry has the manifest", activationTimeoutMs, async () => {
            const status = await fleet.status(entry);
            return status?.config.generation === 4;
        });
        let notReady: string | undefined;
        await waitUntil("the late entry is ready", 10_000, async () => {
            const status = await fleet.status(entry);
            notReady = status?.notReady;
            return status?.ready === true;
        }).catch((err: Error) => assert.fail(`${err.message} (${notReady})`));
        assert.equal((await sendRequest(entry, { path: "/items/1" })).outcome, Outcome.Ran);
        await fleet.setStoreFaults({});
    },
);
