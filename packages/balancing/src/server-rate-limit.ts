/** Rate limit that a backend server names in its responses: what this instance knows of it. */

/** What a response says about the limit: a rate, or a value that cannot be read. Absent if it names no limit. */
export type RateLimitReport = { requestsPerSecond: number } | { unreadable: string };

export interface ServerRateLimit {
    /**
     * Applies a response of the server; `report` is undefined if it names no limit.
     * @param writtenAt Clock time at which the request was written.
     */
    report(report: RateLimitReport | undefined, writtenAt: number, now: number): void;
    /** Maximum number of requests per second from all instances together; undefined without a limit. */
    requestsPerSecond(): number | undefined;
}

export interface ServerRateLimitOptions {
    onChange: (requestsPerSecond: number | undefined) => void;
    /** Called for the first value that cannot be read. */
    onUnreadable: (value: string) => void;
}

export function createServerRateLimit(options: ServerRateLimitOptions): ServerRateLimit {
    let limit: number | undefined;
    /** Clock time up to which the limit is known. */
    let knownAt = -Infinity;
    let isUnreadableReported = false;

    const apply = (next: number | undefined, at: number) => {
        // Responses may overtake each other, so an older one must not replace what a newer one said.
        if (at < knownAt) {
            return;
        }
        knownAt = at;
        if (next !== limit) {
            limit = next;
            options.onChange(next);
        }
    };

    return {
        report: (report, writtenAt, now) => {
            if (report === undefined) {
                // The response may have been on its way when the limit was named: it tells of the time of its request.
                apply(undefined, writtenAt);
            } else if ("requestsPerSecond" in report) {
                apply(report.requestsPerSecond, now);
            } else if (!isUnreadableReported) {
                isUnreadableReported = true;
                options.onUnreadable(report.unreadable);
            }
        },
        requestsPerSecond: () => limit,
    };
}
