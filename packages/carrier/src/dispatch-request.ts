/** Sends one request on one connection and streams the answer with back-pressure. */
import type { Dispatcher, Pool } from "undici";
import { toError } from "@waxwingdale/core";
import type { Clock, AbortSignalLike } from "@waxwingdale/core";

/** How far an attempt came. The phases tell a certain "not run" from an unknown outcome. */
export enum DispatchPhase {
    /** No byte was written to a connected socket. */
    NotSent = "not-sent",
    /** The request was written, in part or whole; no answer came. */
    Sent = "sent",
    /** The answer began and did not end. */
    Truncated = "truncated",
    Complete = "complete",
}

export type ResponseHeaders = Record<string, string | string[] | undefined>;

export interface DispatchResult {
    phase: DispatchPhase;
    status: number;
    headers: ResponseHeaders;
    /** The attempt was ended by its deadline or by the caller, not by the other side. */
    aborted: boolean;
    err?: Error;
}

/** Result of an attempt that was given up before it began. */
export const expiredBeforeSending: DispatchResult = {
    phase: DispatchPhase.NotSent,
    status: 0,
    headers: {},
    aborted: true,
};

/** Receives the body of an answer. */
export interface ResponseSink {
    /** Returns a promise when the sink cannot take more at the moment. */
    write(chunk: Buffer): Promise<void> | undefined;
}

export interface DispatchOptions {
    pool: Pool;
    clock: Clock;
    method: string;
    path: string;
    headers: Record<string, string>;
    body: Buffer | AsyncIterable<Buffer> | undefined;
    deadlineAt: number;
    signal: AbortSignalLike | undefined;
    /** Decides what happens with the answer's body: a sink takes it; without one it is read and dropped. */
    onResponseHead: (status: number, headers: ResponseHeaders) => ResponseSink | undefined;
}

class AttemptAbortedError extends Error {}

/** Runs one attempt. Never rejects: every failure is a phase of the result. */
export function dispatchRequest(options: DispatchOptions): Promise<DispatchResult> {
    return new Promise(resolve => {
        const result: DispatchResult = {
            phase: DispatchPhase.NotSent,
            status: 0,
            headers: {},
            aborted: false,
        };
        let controller: Dispatcher.DispatchController | undefined;
        let sink: ResponseSink | undefined;
        let settled = false;

        const finish = (err?: unknown) => {
            if (settled) {
                return;
            }
            settled = true;
            timer.cancel();
            options.signal?.removeEventListener("abort", abort);
            result.err = toError(err);
            resolve(result);
        };

        const abort = () => {
            result.aborted = true;
            controller?.abort(new AttemptAbortedError("the attempt was aborted"));
            finish(new AttemptAbortedError("the deadline passed or the caller left"));
        };

        const timer = options.clock.setTimer(options.deadlineAt - options.clock.now(), abort);
        if (options.signal?.aborted) {
            abort();
            return;
        }
        options.signal?.addEventListener("abort", abort, { once: true });

        const handler: Dispatcher.DispatchHandler = {
            onRequestStart: started => {
                controller = started;
                if (settled) {
                    // undici writes nothing of a request that is aborted here.
                    started.abort(new AttemptAbortedError("the attempt ended before it was sent"));
                    return;
                }
                result.phase = DispatchPhase.Sent;
            },
            onResponseStart: (_controller, status, headers) => {
                if (settled || status < 200) {
                    return;
                }
                result.phase = DispatchPhase.Truncated;
                result.status = status;
                result.headers = headers;
                sink = options.onResponseHead(status, headers);
            },
            onResponseData: (started, chunk) => {
                // The parser reports an empty chunk after each pause. A pause for it would repeat without end.
                const wait = settled || chunk.length === 0 ? undefined : sink?.write(chunk);
                if (wait !== undefined) {
                    started.pause();
                    void wait.then(() => started.resume());
                }
            },
            onResponseEnd: () => {
                if (!settled) {
                    result.phase = DispatchPhase.Complete;
                }
                finish();
            },
            onResponseError: (_controller, err) => finish(err),
        };
        const { pool, method, path, headers, body } = options;
        pool.dispatch(
            {
                method: method,
                path,
                headers,
                body: body as Dispatcher.DispatchOptions["body"],
            },
            handler,
        );
    });
}
