import assert from "node:assert/strict";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { SettingsError, createSilentLogger, createSystemClock } from "@waxwingdale/core";
import { createSettingsSource, parseGatewaySettings } from "@waxwingdale/gateway";
import { declaredBounds } from "./fixtures.js";

const settings = {
    id: "gateway-1",
    region: "north",
    zone: "n-a",
    listen: {
        callers: "10.0.0.1:8000",
        readiness: "10.0.0.1:8001",
        peers: "10.0.0.1:8002",
        directory: "10.0.0.1:8003",
    },
    zones: { "n-a": "north" },
    store: "10.0.0.9:8142",
    bounds: declaredBounds,
};

test("parses settings with comments and unknown keys", () => {
    const text = `// a comment\n${JSON.stringify({ ...settings, later: 1 })}`;
    assert.equal(parseGatewaySettings(text, "f").bounds.retrySlack, 58);
});

test("rejects invalid settings and names the key and the fix", () => {
    const refuses = (fields: object, pattern: RegExp) =>
        assert.throws(
            () => parseGatewaySettings(JSON.stringify({ ...settings, ...fields }), "f.jsonc"),
            (err: unknown) => err instanceof SettingsError && pattern.test(err.message),
        );
    refuses({ store: "nowhere" }, /f\.jsonc: store: must be an IP address and a port/);
    refuses({ region: undefined }, /region: missing; add it/);
    refuses({ bounds: { ...settings.bounds, coldSlack: -1 } }, /bounds\.coldSlack: must not be negative/);
    refuses(
        { bounds: { ...settings.bounds, evacuateSeconds: 0 } },
        /bounds\.evacuateSeconds: must be greater than 0/,
    );
});

// Guards against using a partially written file and against a process that changes its identity while running.
test("a reload applies new bounds, keeps the identity and ignores an invalid file", async () => {
    const path = join(await mkdtemp(join(tmpdir(), "settings-")), "f.jsonc");
    const source = createSettingsSource({
        path,
        initial: parseGatewaySettings(JSON.stringify(settings), path),
        clock: createSystemClock(),
        logger: createSilentLogger,
    });
    await writeFile(path, JSON.stringify(settings).slice(0, 100));
    await source.reload("signal");
    assert.equal(source.current().bounds.retrySlack, 58);
    const changed = {
        ...settings,
        zone: "n-b",
        bounds: { ...settings.bounds, retrySlack: 90 },
        seeds: ["10.0.0.2:8002"],
    };
    await writeFile(path, JSON.stringify(changed));
    await source.reload("signal");
    assert.equal(source.current().bounds.retrySlack, 90);
    assert.deepEqual(source.current().seeds, ["10.0.0.2:8002"]);
    assert.equal(source.current().zone, "n-a");
});
