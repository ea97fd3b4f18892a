/** Sends a request over a pooled connection and streams the response with backpressure. */
import type { Dispatcher, Pool } from "undici";
import { isFinalStatus, toError } from "@waxwingdale/core";
import type { Clock, AbortSignalLike } from "@waxwingdale/core";
import { createResponseEnd } from "./response-end.js";

/** How far an attempt got, to tell a request that certainly did not run from one that may have run. */
export enum DispatchPhase {
    /** No byte was written to a connected socket. */
    NotSent = "not-sent",
    /** The request was written, at least partially, and no response arrived. */
    Sent = "sent",
    /** The response started and is incomplete. */
    Truncated = "truncated",
    Complete = "complete",
}

export type ResponseHeaders = Record<string, string | string[] | undefined>;

export interface DispatchResult {
    phase: DispatchPhase;
    status: number;
    headers: ResponseHeaders;
    /** Whether the deadline or the caller ended the attempt, rather than the server. */
    aborted: boolean;
    err?: Error;
}

/** Result of an attempt that was aborted before it was sent. */
export const abortedBeforeSending: DispatchResult = {
    phase: DispatchPhase.NotSent,
    status: 0,
    headers: {},
    aborted: true,
};

/** Receives a response body. */
export interface ResponseSink {
    /** Returns a promise if the buffer is full and the next write has to wait. */
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
    /**
     * Returns why a response is not that to this request, or undefined if it is. If it is not, the connection is closed,
     * and the request may have run.
     */
    findMismatch?: (headers: ResponseHeaders) => string | undefined;
    /** Returns the sink for the response body. Without a sink, the body is discarded. */
    onResponseHead: (status: number, headers: ResponseHeaders) => ResponseSink | undefined;
}

class AttemptAbortedError extends Error {}
class ResponseMismatchError extends Error {}
class DamagedResponseError extends Error {}

function findInvalid(
    status: number,
    headers: ResponseHeaders,
    findMismatch: DispatchOptions["findMismatch"],
): Error | undefined {
    if (!isFinalStatus(status)) {
        return new DamagedResponseError(`the response has the invalid status ${status}`);
    }
    const mismatch = findMismatch?.(headers);
    return mismatch === undefined ? undefined : new ResponseMismatchError(mismatch);
}

/** Runs one attempt. Never rejects: failures are reported in the result. */
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
        const end = createResponseEnd(options.pool, options.clock);
        let settled = false;

        const finish = (err?: unknown) => {
            if (settled) {
                return;
            }
            settled = true;
            end.stop();
            timer.cancel();
            options.signal?.removeEventListener("abort", abort);
            result.err = toError(err);
            resolve(result);
        };

        const abort = () => {
            result.aborted = true;
            controller?.abort(new AttemptAbortedError("the attempt was aborted"));
            finish(new AttemptAbortedError("the deadline passed or the caller disconnected"));
        };

        /** Hands over the last piece of the body once its end is certain. */
        const complete = async () => {
            const isWhole = await end.isWhole();
            if (settled) {
                return;
            }
            if (!isWhole) {
                finish(new DamagedResponseError("other bytes follow the response"));
                return;
            }
            result.phase = DispatchPhase.Complete;
            const last = end.lastPiece();
            if (last !== undefined) {
                void sink?.write(last);
            }
            finish();
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
                    // If a request is aborted here, undici does not write any of it.
                    started.abort(new AttemptAbortedError("the attempt ended before it was sent"));
                    return;
                }
                result.phase = DispatchPhase.Sent;
            },
            onResponseStart: (started, status, headers) => {
                const isInterim = status >= 100 && status < 200;
                if (settled || isInterim) {
                    return;
                }
                const err = findInvalid(status, headers, options.findMismatch);
                if (err !== undefined) {
                    finish(err);
                    started.abort(err);
                    return;
                }
                result.phase = DispatchPhase.Truncated;
                result.status = status;
                result.headers = headers;
                sink = options.onResponseHead(status, headers);
                end.onHead(headers);
            },
            onResponseData: (started, chunk) => {
                // The parser emits an empty chunk after each resume, so pausing for empty chunks would loop forever.
                if (settled || chunk.length === 0) {
                    return;
                }
                const certain = end.onPiece(chunk);
                const wait = certain === undefined ? undefined : sink?.write(certain);
                if (wait !== undefined) {
                    started.pause();
                    void wait.then(() => started.resume());
                }
            },
            onResponseEnd: () => void complete(),
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
