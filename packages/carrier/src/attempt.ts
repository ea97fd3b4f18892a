/** One attempt to send a request to a target, and its result. */
import type { ServerResponse } from "node:http";
import type { ReasonCode } from "@waxwingdale/core";
import { outcomeHeader, Outcome, requestIdHeader, waitForDrain } from "@waxwingdale/core";
import type { ResponseHeaders, ResponseSink } from "./dispatch-request.js";
import { createResponseHeaders, servedByHeader } from "./headers.js";
import type { RequestContext } from "./request-context.js";

export enum AttemptKind {
    /** The complete response was forwarded to the caller. */
    Ran = "ran",
    /** The response was truncated after its start had been forwarded. */
    Truncated = "truncated",
    NotRun = "not-run",
    Unknown = "unknown",
}

export interface AttemptResult {
    kind: AttemptKind;
    /** Set if the attempt did not complete. */
    reason?: ReasonCode;
    message?: string;
    retryAfterSeconds?: number;
    /** HTTP status, if a response arrived. */
    status?: number;
    /** Whether another attempt could succeed. Whether a retry is safe depends on `kind` and on the route. */
    isRetryable: boolean;
}

/** Target of requests: the backend servers of the local region or the entries of another one. */
export abstract class Upstream {
    /** Runs one attempt at a target that is not in `avoid`. Never rejects. */
    abstract send(
        ctx: RequestContext,
        avoid: Set<string>,
        capture: ResponseCapture | undefined,
    ): Promise<AttemptResult>;
}

/** Captures a response, so that it can be replayed for the same idempotency key. */
export interface ResponseCapture {
    writeHead(status: number, headers: Record<string, string | string[]>): void;
    write(chunk: Buffer): void;
}

export interface ResponseSinkOptions {
    res: ServerResponse;
    ctx: RequestContext;
    status: number;
    headers: ResponseHeaders;
    /** Region of the server that responded. */
    region: string;
    capture: ResponseCapture | undefined;
    /** Waits until the bytes may be sent. Set if the response crosses a link between regions. */
    pace: ((bytes: number) => Promise<void>) | undefined;
}

/** Sends the response head to the caller and returns the sink for the body. */
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
                      // The wait fails only if the caller has disconnected, so the rest is not needed.
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
