import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "@waxwingdale/core";
import { TraceFormatError, createTraceRecorder, parseTrace } from "@waxwingdale/trace";
import type { TraceEvent } from "@waxwingdale/trace";
import fc from "fast-check";

function createRecorder(capacityBytes?: number) {
    const clock = createManualClock(1000);
    const recorder = createTraceRecorder({ entry: "north-1", region: "north", clock, capacityBytes });
    return { clock, recorder };
}

function createDrain(server: string): TraceEvent {
    return { type: "drain", entry: "north-1", time: 1000, server, source: "manifest", draining: true };
}

// Guards against a forgotten recording that never ends.
test("a recorder records nothing before its start and after its duration", async () => {
    const { clock, recorder } = createRecorder();
    recorder.record(createDrain("a"));
    recorder.start(2);
    recorder.record(createDrain("b"));
    await clock.advance(1999);
    assert.ok(recorder.isRecording(), "recording until the end of its duration");
    await clock.advance(1);
    recorder.record(createDrain("c"));
    const servers = parseTrace(recorder.lines().join("\n"), "x").flatMap(({ event }) =>
        event.type === "drain" ? [event.server] : [],
    );
    assert.deepEqual([recorder.isRecording(), servers], [false, ["b"]]);
});

// Guards against an entry that runs out of memory, and against dropped events that are not counted.
test("the ring buffer keeps the newest events within its capacity and counts the dropped ones", () => {
    fc.assert(
        fc.property(
            fc.array(fc.string({ unit: "binary", maxLength: 60 }), { maxLength: 80 }),
            fc.integer({ min: 1, max: 3000 }),
            (servers, capacityBytes) => {
                const { recorder } = createRecorder(capacityBytes);
                recorder.start(60);
                servers.forEach(server => recorder.record(createDrain(server)));
                const [header, ...events] = parseTrace(recorder.lines().join("\n"), "x");
                const kept = events.map(({ event }) => (event.type === "drain" ? event.server : ""));
                assert.deepEqual(kept, servers.slice(servers.length - kept.length));
                assert.equal(kept.length + recorder.dropped(), servers.length);
                assert.equal(header!.event.type === "trace" && header!.event.dropped, recorder.dropped());
                const bytes = recorder
                    .lines()
                    .slice(1)
                    .reduce((sum, line) => sum + Buffer.byteLength(line) + 1, 0);
                assert.ok(bytes <= capacityBytes, `${bytes} bytes of ${capacityBytes}`);
            },
        ),
        { seed: 1 },
    );
});

// Guards against parsing only part of a file of another release, and against a crash on a file that is not a trace.
test("a file that is not a trace of this version is rejected with the line number", () => {
    const { recorder } = createRecorder();
    recorder.start(60);
    const [header] = recorder.lines();
    const cases: [string, RegExp][] = [
        [header!.replace('"version":1', '"version":2'), /^x:1: the trace has version 2/],
        [`${header}\nnull`, /^x:2: /],
        [`${header}\n{"type":"drain"}`, /^x:2: entry/],
        [`${header}\n{`, /^x:2: the line is not JSON/],
        ["", /the first line is not a trace header$/],
    ];
    for (const [text, message] of cases) {
        assert.throws(
            () => parseTrace(text, "x"),
            err => err instanceof TraceFormatError && message.test(err.message),
            text,
        );
    }
});
