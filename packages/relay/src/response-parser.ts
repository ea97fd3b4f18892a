/** Parses the HTTP/1.1 responses on a connection to a backend server. It does not match them to requests. */
import { BodyFraming } from "./body-reader.js";
import type { BodyReader } from "./body-reader.js";
import { createHeadReader } from "./head-reader.js";
import type { ResponseHead } from "./head-reader.js";
import { InvalidResponseError } from "./invalid-response-error.js";
import { createBodyReader } from "./response-framing.js";

export interface ResponseParserEvents {
    /** Returns false if the response has no body, whatever its headers say of its framing. */
    onHead(head: ResponseHead, framing: BodyFraming): boolean;
    onBody(chunk: Buffer): void;
    /** @param endOffset Offset in the last chunk of the first byte behind the response. */
    onComplete(endOffset: number): void;
}

export interface ResponseParser {
    /** Whether a response has begun and has not ended. */
    isInside(): boolean;
    /** Returns an error if the bytes are not a valid response. The connection cannot be used any more. */
    read(chunk: Buffer): InvalidResponseError | undefined;
    /**
     * Handles the end of the stream, which completes a response without a length. Returns an error if a response was
     * truncated or malformed.
     */
    end(): InvalidResponseError | undefined;
}

export function createResponseParser(events: ResponseParserEvents): ResponseParser {
    const headReader = createHeadReader();
    /** Reader of the body; undefined between responses and inside a head. */
    let body: BodyReader | undefined;
    let failure: InvalidResponseError | undefined;

    const completeBody = (endOffset: number) => {
        body = undefined;
        events.onComplete(endOffset);
    };

    const readHead = (chunk: Buffer, from: number): number => {
        const found = headReader.read(chunk, from);
        if (found === undefined) {
            return chunk.length;
        }
        const reader = createBodyReader(found.head, piece => events.onBody(piece));
        body = events.onHead(found.head, reader?.framing ?? BodyFraming.None) ? reader : undefined;
        if (body === undefined || body.isComplete) {
            completeBody(found.nextOffset);
        }
        return found.nextOffset;
    };

    const readBody = (reader: BodyReader, chunk: Buffer, from: number): number => {
        const nextOffset = reader.read(chunk, from);
        if (reader.isComplete) {
            completeBody(nextOffset);
        }
        return nextOffset;
    };

    const readAll = (chunk: Buffer) => {
        let offset = 0;
        while (offset < chunk.length) {
            offset = body === undefined ? readHead(chunk, offset) : readBody(body, chunk, offset);
        }
    };

    return {
        isInside: () => headReader.isInside() || body !== undefined,
        read: chunk => {
            failure ??= catchInvalid(() => readAll(chunk));
            return failure;
        },
        end: () => {
            const endsEarly = body !== undefined && body.framing !== BodyFraming.UntilClose;
            const isTruncated = headReader.isInside() || endsEarly;
            if (isTruncated) {
                failure ??= new InvalidResponseError("the response is truncated");
            }
            if (failure === undefined && body !== undefined) {
                completeBody(0);
            }
            return failure;
        },
    };
}

function catchInvalid(run: () => void): InvalidResponseError | undefined {
    try {
        run();
        return undefined;
    } catch (err) {
        if (err instanceof InvalidResponseError) {
            return err;
        }
        throw err;
    }
}
