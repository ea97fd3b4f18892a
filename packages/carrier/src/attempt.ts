/** One attempt of a request at one target, and what is known of it afterwards. */
import type { ServerResponse } from "node:http";
import type { ReasonCode } from "@waxwingdale/core";
import { outcomeHeader, Outcome, requestIdHeader, waitForDrain } from "@waxwingdale/core";
import type { ResponseHeaders, ResponseSink } from "./dispatch-request.js";
import { createResponseHeaders, servedByHeader } from "./headers.js";
import type { RequestContext } from "./request-context.js";

export enum AttemptKind {
    /** The target answered and the answer went to the caller in full. */
    Ran = "ran",
    /** The answer began to reach the caller and was cut off. */
    Truncated = "truncated",
    NotRun = "not-run",
    Unknown = "unknown",
}

export interface AttemptResult {
    kind: AttemptKind;
    /** Reason of an attempt that did not complete. */
    reason?: ReasonCode;
    message?: string;
    retryAfterSeconds?: number;
    /** Status of the answer, when there was one. */
    status?: number;
    /** The same target refuses now, another one may not. */
    isRetryable: boolean;
}

/** A place that requests are sent to: a backend server of the own region or an entry of another one. */
export abstract class Upstream {
    /** Runs one attempt. Never rejects. */
    abstract send(
        ctx: RequestContext,
        avoid: Set<string>,
        capture: ResponseCapture | undefined,
    ): Promise<AttemptResult>;
}

/** Keeps a copy of an answer for repeats of its idempotency key, up to a limit. */
export interface ResponseCapture {
    writeHead(status: number, headers: Record<string, string | string[]>): void;
    write(chunk: Buffer): void;
}

export interface ResponseSinkOptions {
    res: ServerResponse;
    ctx: RequestContext;
    status: number;
    headers: ResponseHeaders;
    /** Region of the server that answered. */
    region: string;
    capture: ResponseCapture | undefined;
    /** Waits until bytes may be sent, for an answer that crosses a link. */
    pace: ((bytes: number) => Promise<void>) | undefined;
}

/** Sends the head of an answer to the caller and returns the sink for its body. */
export function openResponseSink(options: ResponseSinkOptions): ResponseSink {
    const { res, ctx, capture, pace } = options;
    const headers = createResponseHeaders(options.headers);
    capture?.writeHead(options.status, headers);
    headers[outcomeHeader] = Outcome.Ran;
    headers[requestIdHeader] = ctx.id;
    headers[servedByHeader] = options.region;
    if (!res.destroyed) {
        res.writeHead(options.status, headers);
    }
    return {
        write: chunk => {
            ctx.record.responseBytes += chunk.length;
            capture?.write(chunk);
            return pace === undefined
                ? writeChunk(res, chunk)
                : pace(chunk.length).then(
                      () => writeChunk(res, chunk),
                      // The wait fails only when the caller has left; nobody reads the rest.
                      () => undefined,
                  );
        },
    };
}

function writeChunk(res: ServerResponse, chunk: Buffer): Promise<void> | undefined {
    if (res.destroyed || res.write(chunk)) {
        return undefined;
    }
    return waitForDrain(res);
}
