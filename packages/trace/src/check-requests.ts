/** Checks requests: reported outcomes, idempotency keys, and attempts on draining servers. */
import { Outcome, ReasonCode } from "@waxwingdale/core";
import { pickLines } from "./trace-lines.js";
import type { LinesOf } from "./trace-lines.js";
import type { TraceLine } from "./parse-trace.js";
import { TraceRule, createViolation } from "./violation.js";
import type { TraceViolation } from "./violation.js";

type RequestLine = LinesOf<"request">[number];

/** How long a server may still receive new requests after its drain is known, in milliseconds. */
export const drainGraceMs = 5000;

/**
 * Results of attempts that reached a server, or may have. `deadline-exceeded` and `caller-aborted` are not included:
 * they do not say whether a server was reached. They only occur on the last attempt, for which the outcome of the
 * request says it.
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
    return [...checkOutcomes(requests), ...checkIdempotencyKeys(requests), ...checkDrains(merged)];
}

/** Checks that requests with the outcome `not-run` have no attempt that may have run. */
function checkOutcomes(requests: readonly RequestLine[]): TraceViolation[] {
    return requests.flatMap(line => {
        const { id, outcome, attempts } = line.event;
        const ran = attempts.find(({ result }) => mayHaveRun.has(result));
        if (outcome !== Outcome.NotRun || ran === undefined) {
            return [];
        }
        const message = `request ${id} was reported as not-run, but its attempt at ${ran.target} ended with ${ran.result}`;
        return [createViolation(TraceRule.OutcomeNotRun, message, line)];
    });
}

/** Counts the attempts of a request that ran or may have run. */
function countRuns({ event }: RequestLine): number {
    const { attempts, outcome } = event;
    const counted = attempts.filter(({ result }) => mayHaveRun.has(result)).length;
    const last = attempts.at(-1);
    const isLastUnknown = outcome === Outcome.Unknown && last !== undefined && !mayHaveRun.has(last.result);
    return counted + (isLastUnknown ? 1 : 0);
}

function checkIdempotencyKeys(requests: readonly RequestLine[]): TraceViolation[] {
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
            const message = `request ${line.event.id} was sent to ${target} ${ms} ms after its drain was known`;
            return [createViolation(TraceRule.LateForDrain, message, drain.line, line)];
        }),
    );
}

/** Lists the drains of each server. Start and end are the times at which the first entry recorded them. */
function listDrains(merged: readonly TraceLine[]): Map<string, Drain[]> {
    const drains = new Map<string, Drain[]>();
    for (const line of pickLines(merged, "drain")) {
        const { server, draining, time } = line.event;
        const serverDrains = drains.get(server) ?? [];
        const last = serverDrains.at(-1);
        const isActive = last?.to === Infinity;
        if (draining && !isActive) {
            serverDrains.push({ line, from: time, to: Infinity });
        } else if (!draining && isActive) {
            last.to = time;
        }
        drains.set(server, serverDrains);
    }
    return drains;
}
