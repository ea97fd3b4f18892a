import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createManualClock } from "@waxwingdale/core";
import {
    ClientBlockError,
    createClientBlockTable,
    createClientBlockTableInSlices,
    formatIpv4,
    maskAddress,
    parseIpv4,
} from "@waxwingdale/steering";
import type { ClientBlockTable } from "@waxwingdale/steering";

/** Addresses in a few /16 blocks, so that the generated blocks are nested and adjacent. */
const address = fc
    .tuple(fc.constantFrom(0x0a010000, 0x0a020000, 0xffff0000), fc.nat(0xffff))
    .map(([base, rest]) => (base + rest) >>> 0);
const length = fc.oneof(fc.integer({ min: 0, max: 32 }), fc.integer({ min: 22, max: 32 }));
const block = fc
    .tuple(address, length)
    .map(([base, bits]) => `${formatIpv4(maskAddress(base, bits))}/${bits}`);
const region = fc.constantFrom("north", "central", "south");

function findNaively(blocks: ReadonlyMap<string, string>, target: number): string | undefined {
    for (let bits = 32; bits >= 0; bits--) {
        const found = blocks.get(`${formatIpv4(maskAddress(target, bits))}/${bits}`);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}

/** Compares the results at the given addresses and at the boundaries of every block. */
function assertMatches(
    table: ClientBlockTable,
    blocks: ReadonlyMap<string, string>,
    extra: readonly number[],
): void {
    assert.equal(table.size(), blocks.size);
    const boundaries = [...blocks.keys()].flatMap(text => {
        const [base, bits] = text.split("/") as [string, string];
        const first = parseIpv4(base);
        const last = first + 2 ** (32 - Number(bits)) - 1;
        return [first, last, Math.max(0, first - 1), Math.min(0xffffffff, last + 1)];
    });
    for (const target of [...extra, ...boundaries]) {
        assert.equal(table.find(target), findNaively(blocks, target), formatIpv4(target));
    }
}

// Guards against wrong matches of nested blocks, at their boundaries, and after changes.
test("the table matches like a naive longest-prefix search after any sequence of changes", async () => {
    const change = fc.tuple(block, fc.option(region, { nil: undefined }));
    await fc.assert(
        fc.asyncProperty(
            fc.uniqueArray(fc.tuple(block, region), { selector: ([text]) => text, maxLength: 60 }),
            fc.array(change, { maxLength: 40 }),
            fc.array(address, { maxLength: 20 }),
            async (initial, changes, targets) => {
                const specs = initial.map(([text, name]) => ({ block: text, region: name }));
                const blocks = new Map<string, string>(initial);
                const table = createClientBlockTable(specs);
                assertMatches(table, blocks, targets);
                assertMatches(
                    await createClientBlockTableInSlices(specs, createManualClock()),
                    blocks,
                    targets,
                );
                const removals = initial.slice(0, 10).map(([text]) => [text, undefined] as const);
                for (const [text, name] of [...changes, ...removals]) {
                    if (name !== undefined) {
                        table.set(text, name);
                        blocks.set(text, name);
                    } else {
                        assert.equal(table.remove(text), blocks.delete(text));
                    }
                }
                assertMatches(table, blocks, targets);
                const reassigned = [...blocks.keys()].map(text => ({ block: text, region: "south" }));
                await table.applyInSlices(reassigned, createManualClock());
                reassigned.forEach(row => blocks.set(row.block, row.region));
                assertMatches(table, blocks, targets);
            },
        ),
        { seed: 7, numRuns: 150 },
    );
});

// Guards against overflow of a bucket or a page by a dense range of blocks.
test("the table holds a block for every address of a /16", () => {
    const table = createClientBlockTable([{ block: "10.0.0.0/8", region: "north" }]);
    const specs = Array.from({ length: 65536 }, (_, i) => ({
        block: `${formatIpv4(0x0a010000 + i)}/32`,
        region: i % 2 === 0 ? "central" : "south",
    }));
    const dense = createClientBlockTable([...specs].reverse());
    assert.equal(dense.find(0x0a01fffe), "central");
    assert.equal(dense.find(0x0a01ffff), "south");
    specs.slice(0, 3000).forEach(row => table.set(row.block, row.region));
    assert.equal(table.find(0x0a010000 + 2999), "south");
    assert.equal(table.find(0x0a010000 + 3000), "north");
});

// Guards against invalid or ambiguous blocks in a manifest.
test("an invalid or duplicate block is rejected with a hint how to fix it", () => {
    const bad = ["10.1.0.0", "10.1.0.0/33", "10.1.0.0/", "10.1.0/16", "10.1.0.1/16", "300.1.0.0/16"];
    for (const text of bad) {
        assert.throws(
            () => createClientBlockTable([{ block: text, region: "north" }]),
            ClientBlockError,
            text,
        );
    }
    for (const text of ["10.1.2.0/24", "10.0.0.0/8"]) {
        const twice = ["north", "south"].map(name => ({ block: text, region: name }));
        assert.throws(() => createClientBlockTable(twice), /listed twice; remove/);
    }
});
