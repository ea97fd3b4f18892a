/** Checks of single requests: stated outcomes, keys, and drained servers. */
import { Outcome, ReasonCode } from "@waxwingdale/core";
import { pickLines } from "./trace-lines.js";
import type { LinesOf } from "./trace-lines.js";
import type { TraceLine } from "./parse-trace.js";
import { TraceRule, createViolation } from "./violation.js";
import type { TraceViolation } from "./violation.js";

type RequestLine = LinesOf<"request">[number];

/** Time in milliseconds after a drain is known in which a server may still get new requests. */
export const drainGraceMs = 5000;

/**
 * Results of attempts that reached a server, or may have. `deadline-exceeded` and `caller-aborted` are not among them:
 * they stand for attempts of both kinds, are never followed by another one, and the outcome tells which it was.
 */
const mayHaveRun = new Set<string>([
    "ran",
    "truncated",
    "unknown",
    "running",
    ReasonCode.BackendConnectionLost,
    ReasonCode.EntryLost,
    ReasonCode.InProgress,
    ReasonCode.Replayed,
]);

export function checkRequests(merged: readonly TraceLine[]): TraceViolation[] {
    const requests = pickLines(merged, "request");
    return [...checkOutcomes(requests), ...checkKeys(requests), ...checkDrains(merged)];
}

/** An attempt that ended in a certain refusal may be followed by others; any other one forbids "not run". */
function checkOutcomes(requests: readonly RequestLine[]): TraceViolation[] {
    return requests.flatMap(line => {
        const { id, outcome, attempts } = line.event;
        const ran = attempts.find(({ result }) => mayHaveRun.has(result));
        if (outcome !== Outcome.NotRun || ran === undefined) {
            return [];
        }
        const message = `request ${id} was answered not-run; its attempt at ${ran.target} ended with ${ran.result}`;
        return [createViolation(TraceRule.OutcomeNotRun, message, line)];
    });
}

/** Counts the attempts of a request that ran or may have run. */
function countRuns({ event }: RequestLine): number {
    const { attempts, outcome } = event;
    const certain = attempts.filter(({ result }) => mayHaveRun.has(result)).length;
    const last = attempts.at(-1);
    const isLastOpen = outcome === Outcome.Unknown && last !== undefined && !mayHaveRun.has(last.result);
    return certain + (isLastOpen ? 1 : 0);
}

function checkKeys(requests: readonly RequestLine[]): TraceViolation[] {
    const runs = new Map<string, RequestLine[]>();
    for (const line of requests) {
        const { keyHash } = line.event;
        if (keyHash !== undefined) {
            const lines = runs.get(keyHash) ?? [];
            lines.push(...Array<RequestLine>(countRuns(line)).fill(line));
            runs.set(keyHash, lines);
        }
    }
    return [...runs]
        .filter(([, lines]) => lines.length > 1)
        .map(([keyHash, lines]) =>
            createViolation(
                TraceRule.KeyRanTwice,
                `${lines.length} attempts with key hash ${keyHash} ran or may have run`,
                ...new Set(lines),
            ),
        );
}

interface Drain {
    line: TraceLine;
    from: number;
    to: number;
}

function checkDrains(merged: readonly TraceLine[]): TraceViolation[] {
    const drains = listDrains(merged);
    return pickLines(merged, "request").flatMap(line =>
        line.event.attempts.flatMap(({ target, waitedMs }) => {
            const sentAt = line.event.time + waitedMs;
            const drain = drains
                .get(target)
                ?.find(({ from, to }) => sentAt > from + drainGraceMs && sentAt < to);
            if (drain === undefined) {
                return [];
            }
            const ms = Math.round(sentAt - drain.from);
            const message = `request ${line.event.id} went to ${target} ${ms} ms after its drain was known`;
            return [createViolation(TraceRule.LateForDrain, message, drain.line, line)];
        }),
    );
}

/** Lists the drains of each server: from the first entry that knows of it to the first that knows of its end. */
function listDrains(merged: readonly TraceLine[]): Map<string, Drain[]> {
    const drains = new Map<string, Drain[]>();
    for (const line of pickLines(merged, "drain")) {
        const { server, draining, time } = line.event;
        const known = drains.get(server) ?? [];
        const last = known.at(-1);
        const isActive = last?.to === Infinity;
        if (draining && !isActive) {
            known.push({ line, from: time, to: Infinity });
        } else if (!draining && isActive) {
            last.to = time;
        }
        drains.set(server, known);
    }
    return drains;
}
