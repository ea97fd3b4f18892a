/** Logs one line per request, with everything that determined its outcome. */
import type { BackendState } from "@waxwingdale/balancing";
import type { Logger } from "@waxwingdale/core";
import { RequestOutcome } from "@waxwingdale/relay";
import type { CrashObserver, RequestRecord, SkippedResponse } from "@waxwingdale/relay";
import type { GatewayMetrics } from "./gateway-metrics.js";

/** Logs a request. Requests that were not answered use separate events, each with its own rate limit. */
export function logRequest(logger: Logger, record: RequestRecord): void {
    const fields = {
        request: record.requestId,
        route: record.route,
        service: record.service,
        workspace: record.workspace,
        object: record.object || undefined,
        status: record.status,
        reason: record.reason || undefined,
        detail: record.detail,
        config: record.configVersion,
        unreadMs: Math.round(record.unreadMs) || undefined,
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
    writtenAfterMs,
    wasCallerPaused,
    isReused,
}: RequestRecord["attempts"][number]): string {
    const written = writtenAfterMs === undefined ? "never" : Math.round(writtenAfterMs);
    const flags = `${isReused ? "" : ",new-connection"}${wasCallerPaused ? ",caller-paused" : ""}`;
    // What a server sent may be part of the result; commas and semicolons separate the fields and the attempts.
    return `${server},${result.replace(/[,;]/g, " ")},expected=${expectedMs},took=${tookMs},written=${written}${flags}`;
}

/** Logs and counts what counts for and against the suspicion that a request crashes servers. */
export function createCrashLog(logger: Logger, metrics: GatewayMetrics): CrashObserver {
    return {
        onExamined: examination => {
            const { requestId, fingerprint, serverId, loss, verdict, crashes, crashesOfAll } = examination;
            metrics.countExamination(examination);
            // Connections are lost for many reasons; without a suspicion, each of them is of no interest.
            const level = crashes > 0 || crashesOfAll > 0 ? "info" : "debug";
            logger[level]("lost-server-examined", {
                request: requestId,
                fingerprint,
                server: serverId,
                loss,
                verdict,
                crashes,
                crashesOfAll,
            });
        },
        onCleared: ({ requestId, fingerprint, crashes }) =>
            logger.info("suspicion-cleared", { request: requestId, fingerprint, crashes }),
    };
}

/** Logs and counts a response that was not taken for that to the request in flight on its connection. */
export function logSkippedResponse(
    logger: Logger,
    metrics: GatewayMetrics,
    { record }: BackendState,
    skipped: SkippedResponse,
): void {
    metrics.countSkipped(record.service, skipped);
    logger.warn("response-skipped", {
        request: skipped.requestId,
        response: skipped.responseIds.join() || undefined,
        server: record.id,
        service: record.service,
        reason: skipped.mismatch,
        status: skipped.status,
        isReused: skipped.isReused,
    });
}
