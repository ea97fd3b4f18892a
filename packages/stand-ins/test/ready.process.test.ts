/** Readiness. The test guards against callers that are sent to an entry that cannot serve yet. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome, deadlineHeader } from "@waxwingdale/core";
import { send, useFleet } from "./fleet-fixture.js";

const getFleet = useFleet({ regions: ["east"], entriesPerRegion: 3, servers: 4 });

test("an entry that reports ready answers a look-up within a second", { timeout: 30_000 }, async () => {
    const headers = { [deadlineHeader]: "1000" };
    const answers = await Promise.all(
        getFleet().entries.map(entry => send(entry, { path: "/items/1", headers })),
    );
    const results = answers.map(({ outcome, reason }) => `${outcome}/${reason}`);
    assert.deepEqual(
        results,
        answers.map(() => `${Outcome.Ran}/`),
    );
});
