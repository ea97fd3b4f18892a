/** Guards against entries that report ready before they can serve requests. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome, deadlineHeader } from "@waxwingdale/core";
import { sendRequest, useFleet } from "./fleet-fixture.js";

const getFleet = useFleet({ regions: ["east"], entriesPerRegion: 3, servers: 4 });

test("an entry that reports ready serves a lookup within a second", { timeout: 30_000 }, async () => {
    const headers = { [deadlineHeader]: "1000" };
    const results = await Promise.all(
        getFleet().entries.map(entry => sendRequest(entry, { path: "/items/1", headers })),
    );
    const outcomes = results.map(({ outcome, reason }) => `${outcome}/${reason}`);
    assert.deepEqual(
        outcomes,
        results.map(() => `${Outcome.Ran}/`),
    );
});
