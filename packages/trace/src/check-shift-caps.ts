/** Check of the caps on shifted traffic over all entries together. */
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

/** A pair of regions with the requests that were shifted, in the order of time. */
interface ShiftedPair {
    from: string;
    to: string;
    requests: ShiftedRequest[];
}

export function checkShiftCaps(merged: readonly TraceLine[]): TraceViolation[] {
    const manifests = pickLines(merged, "manifest");
    return listShifted(merged).flatMap(pair => checkPair(pair, manifests));
}

function checkPair(pair: ShiftedPair, manifests: LinesOf<"manifest">): TraceViolation[] {
    if (manifests.length === 0) {
        const message = `no trace has a manifest, so the cap from ${pair.from} to ${pair.to} is not known`;
        return [createViolation(TraceRule.Incomplete, message, pair.requests[0]!.line)];
    }
    const lowest = Math.min(...manifests.map(({ event }) => findCap(event.manifest, pair)));
    const violations: TraceViolation[] = [];
    let window: ShiftedRequest[] = [];
    for (const request of pair.requests) {
        window = window.filter(({ at }) => at > request.at - windowMs);
        window.push(request);
        if (window.length <= lowest) {
            continue;
        }
        const cap = findCapInWindow(pair, manifests, request.at - windowMs, request.at);
        if (window.length > cap) {
            const message = `${window.length} requests from ${pair.from} to ${pair.to} in one second, the cap is ${cap}`;
            violations.push(createViolation(TraceRule.ShiftCap, message, ...window.map(({ line }) => line)));
            // One violation for each window, not for each further request in it.
            window = [];
        }
    }
    return violations;
}

function findCap(manifest: Manifest, { from, to }: ShiftedPair): number {
    return manifest.shiftCaps.find(cap => cap.from === from && cap.to === to)?.maxRequestsPerSecond ?? 0;
}

/** Entries take a new generation at slightly different times, so the greatest cap in force at any of them counts. */
function findCapInWindow(
    pair: ShiftedPair,
    manifests: LinesOf<"manifest">,
    from: number,
    to: number,
): number {
    const atStart = new Map<string, number>();
    let greatest = 0;
    for (const { event } of manifests) {
        const cap = findCap(event.manifest, pair);
        if (event.time <= from) {
            atStart.set(event.entry, cap);
        } else if (event.time <= to) {
            greatest = Math.max(greatest, cap);
        }
    }
    return Math.max(greatest, ...atStart.values());
}

function listShifted(merged: readonly TraceLine[]): ShiftedPair[] {
    const regions = new Map(pickLines(merged, "trace").map(({ event }) => [event.entry, event.region]));
    const pairs = new Map<string, ShiftedPair>();
    for (const line of pickLines(merged, "request")) {
        const { event } = line;
        const own = regions.get(event.entry) ?? event.home;
        for (const { region, waitedMs } of event.attempts) {
            const from = findShiftSource(event, own, region);
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
 * Returns the region that an attempt was shifted from, or undefined. An entry that forwards counts the request as its
 * own region's; one that serves a caller of a dead or emptied region counts it as that region's.
 */
function findShiftSource(
    event: LinesOf<"request">[number]["event"],
    own: string,
    region: string,
): string | undefined {
    if (region !== own) {
        return own;
    }
    const isDirect = event.home !== own && event.region === own && event.regionReason === SteeringReason.Plan;
    return isDirect ? event.home : undefined;
}
