/**
 * LOST: "At any time, a machine in touch passes a request from a kept connection on to a sound upstream and closes that
 * connection without an answer, more than three times."
 */
const allowed = 3;

/** Returns one line for each gateway that broke the rule. `isOut` tells when a gateway is not in touch. */
export function findLost({ results, servers, log, isOut = () => false }) {
    const soundRuns = new Map(
        servers
            .filter(({ isSpoiling }) => !isSpoiling)
            .flatMap(({ id, runs }) => runs.map(run => [run.id, { server: id, at: run.at }])),
    );
    const byGateway = new Map();
    for (const result of results) {
        const run = soundRuns.get(result.id);
        const isClosed = result.status === 0 && result.error !== "no answer within the deadline";
        if (result.isKept && isClosed && run !== undefined && !isOut(result)) {
            log(
                `lost ${result.id} ${result.method} ${result.path} via ${result.gateway}: ran at ${run.server}, closed after ${result.tookMs} ms (${result.error})`,
            );
            byGateway.set(result.gateway, (byGateway.get(result.gateway) ?? 0) + 1);
        }
    }
    return [...byGateway]
        .filter(([, count]) => count > allowed)
        .map(
            ([id, count]) =>
                `LOST ${id}: ${count} requests from kept connections, passed on to sound servers`,
        );
}

/** Counts results by status or error, for the record. */
export function countResults(results) {
    const counts = {};
    for (const { status, error } of results) {
        const key = status === 0 ? error : String(status);
        counts[key] = (counts[key] ?? 0) + 1;
    }
    return JSON.stringify(counts);
}
