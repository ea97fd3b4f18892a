/** Checks the caps on shifted traffic across all entries. */
import { SteeringReason } from "@waxwingdale/core";
import type { Manifest } from "@waxwingdale/manifest";
import { pickLines } from "./trace-lines.js";
import type { LinesOf } from "./trace-lines.js";
import type { TraceLine } from "./parse-trace.js";
import { TraceRule, createViolation } from "./violation.js";
import type { TraceViolation } from "./violation.js";

const windowMs = 1000;

interface ShiftedRequest {
    line: TraceLine;
    at: number;
}

/** Requests shifted from one region to another, in chronological order. */
interface ShiftedPair {
    from: string;
    to: string;
    requests: ShiftedRequest[];
}

export function checkShiftCaps(merged: readonly TraceLine[]): TraceViolation[] {
    const manifests = pickLines(merged, "manifest");
    return listShiftedPairs(merged).flatMap(pair => checkPair(pair, manifests));
}

function checkPair(pair: ShiftedPair, manifests: LinesOf<"manifest">): TraceViolation[] {
    if (manifests.length === 0) {
        const message = `no trace has a manifest, so the cap from ${pair.from} to ${pair.to} is unknown`;
        return [createViolation(TraceRule.Incomplete, message, pair.requests[0]!.line)];
    }
    const minCap = Math.min(...manifests.map(({ event }) => findCap(event.manifest, pair)));
    const violations: TraceViolation[] = [];
    let window: ShiftedRequest[] = [];
    for (const request of pair.requests) {
        window = window.filter(({ at }) => at > request.at - windowMs);
        window.push(request);
        if (window.length <= minCap) {
            continue;
        }
        const cap = findMaxCapInWindow(pair, manifests, request.at - windowMs, request.at);
        if (window.length > cap) {
            const message = `${window.length} requests from ${pair.from} to ${pair.to} in one second exceed the cap of ${cap}`;
            violations.push(createViolation(TraceRule.ShiftCap, message, ...window.map(({ line }) => line)));
            // Report one violation per window, not one per additional request.
            window = [];
        }
    }
    return violations;
}

function findCap(manifest: Manifest, { from, to }: ShiftedPair): number {
    return manifest.shiftCaps.find(cap => cap.from === from && cap.to === to)?.maxRequestsPerSecond ?? 0;
}

/** Entries apply a new generation at slightly different times, so the highest cap active at any of them counts. */
function findMaxCapInWindow(
    pair: ShiftedPair,
    manifests: LinesOf<"manifest">,
    from: number,
    to: number,
): number {
    const capsAtStart = new Map<string, number>();
    let maxCap = 0;
    for (const { event } of manifests) {
        const cap = findCap(event.manifest, pair);
        if (event.time <= from) {
            capsAtStart.set(event.entry, cap);
        } else if (event.time <= to) {
            maxCap = Math.max(maxCap, cap);
        }
    }
    return Math.max(maxCap, ...capsAtStart.values());
}

function listShiftedPairs(merged: readonly TraceLine[]): ShiftedPair[] {
    const regions = new Map(pickLines(merged, "trace").map(({ event }) => [event.entry, event.region]));
    const pairs = new Map<string, ShiftedPair>();
    for (const line of pickLines(merged, "request")) {
        const { event } = line;
        const entryRegion = regions.get(event.entry) ?? event.home;
        for (const { region, waitedMs } of event.attempts) {
            const from = findShiftSource(event, entryRegion, region);
            if (from !== undefined) {
                const key = `${from}\n${region}`;
                const pair = pairs.get(key) ?? { from, to: region, requests: [] };
                pair.requests.push({ line, at: event.time + waitedMs });
                pairs.set(key, pair);
            }
        }
    }
    for (const { requests } of pairs.values()) {
        requests.sort((a, b) => a.at - b.at);
    }
    return [...pairs.values()];
}

/**
 * Returns the region that an attempt was shifted from, or undefined. A request that an entry forwards is shifted from
 * the entry's region. One that it serves directly for a caller of a dead or fully shifted region is shifted from the
 * caller's home region.
 */
function findShiftSource(
    event: LinesOf<"request">[number]["event"],
    entryRegion: string,
    region: string,
): string | undefined {
    if (region !== entryRegion) {
        return entryRegion;
    }
    const isDirect =
        event.home !== entryRegion &&
        event.region === entryRegion &&
        event.regionReason === SteeringReason.Plan;
    return isDirect ? event.home : undefined;
}
