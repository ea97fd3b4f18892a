/** One log line for each request, with everything that decided about it. */
import type { Logger } from "@waxwingdale/core";
import { RequestOutcome } from "@waxwingdale/relay";
import type { RequestRecord } from "@waxwingdale/relay";

/** Writes the line of a request. Requests without an answer go to events of their own, which have their own budgets. */
export function logRequest(logger: Logger, record: RequestRecord): void {
    const fields = {
        request: record.requestId,
        route: record.route,
        service: record.service,
        object: record.object || undefined,
        status: record.status,
        reason: record.reason || undefined,
        detail: record.detail,
        config: record.configVersion,
        waitedMs: Math.round(record.waitedMs),
        tookMs: Math.round(record.tookMs),
        deadlineMs: record.deadlineMs,
        attempts: record.attempts.map(formatAttempt).join(";"),
    };
    const isAnswered = record.outcome === RequestOutcome.Answered;
    if (isAnswered) {
        logger.info("request-answered", fields);
    } else {
        logger.warn(`request-${record.outcome}`, fields);
    }
}

function formatAttempt({
    server,
    result,
    expectedMs,
    tookMs,
    isReused,
}: RequestRecord["attempts"][number]): string {
    return `${server},${result},expected=${expectedMs},took=${tookMs}${isReused ? "" : ",new-connection"}`;
}
