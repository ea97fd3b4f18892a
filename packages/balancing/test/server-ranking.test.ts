/** Guards against an uneven distribution of objects over servers, and against objects that move unnecessarily. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createServerRanking, mixHashes } from "@waxwingdale/balancing";
import type { BackendState } from "@waxwingdale/balancing";
import { createManualClock, hash32 } from "@waxwingdale/core";
import { createServer, createTable } from "./fixtures.js";

function createServers(count: number): readonly BackendState[] {
    const table = createTable(createManualClock(), () => [[]]);
    for (let i = 0; i < count; i++) {
        table.apply(createServer(`i-${i}`, "n-a"), false);
    }
    return table.usable("files");
}

function findHomes(servers: readonly BackendState[], objects: number): string[] {
    const ranks = createServerRanking("north");
    return Array.from(
        { length: objects },
        (_, i) => ranks.zones("files", `view\no-${i}`, servers, 1)[0]!.candidates[0]!.server.record.id,
    );
}

test("distributes objects evenly over servers", () => {
    const servers = createServers(40);
    const counts = new Map<string, number>();
    findHomes(servers, 8000).forEach(id => counts.set(id, (counts.get(id) ?? 0) + 1));
    assert.equal(counts.size, 40);
    // 200 objects per server, with a standard deviation of 14.
    for (const [id, count] of counts) {
        assert.ok(count > 140 && count < 260, `${id} has ${count} objects`);
    }
});

test("when a server is removed, only its objects move, and to many other servers", () => {
    const servers = createServers(40);
    const before = findHomes(servers, 2000);
    const after = findHomes(servers.slice(1), 2000);
    const lost = servers[0]!.record.id;
    const receivers = new Set<string>();
    before.forEach((id, i) => {
        if (id === lost) {
            receivers.add(after[i]!);
        } else {
            assert.equal(after[i], id);
        }
    });
    assert.ok(receivers.size >= 15, `the objects moved to only ${receivers.size} servers`);
});

test("the hashes of similar pairs differ in about half of their bits", () => {
    let bits = 0;
    const pairs = 2000;
    for (let i = 0; i < pairs; i++) {
        const a = mixHashes(hash32(`o-${i}`), hash32("i-1"));
        const b = mixHashes(hash32(`o-${i}`), hash32("i-1") ^ (1 << (i % 32)));
        bits += ((a ^ b) >>> 0).toString(2).split("1").length - 1;
    }
    assert.ok(bits / pairs > 12 && bits / pairs < 20, `${bits / pairs} bits`);
});
