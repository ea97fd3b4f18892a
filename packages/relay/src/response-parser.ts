/** Parses the HTTP/1.1 responses on a connection to a backend server. It does not match them to requests. */
import type { BodyReader } from "./body-reader.js";
import { createHeadReader } from "./head-reader.js";
import type { ResponseHead } from "./head-reader.js";
import { InvalidResponseError } from "./invalid-response-error.js";
import { createBodyReader } from "./response-framing.js";

export interface ResponseParserEvents {
    /**
     * Returns false if the response has no body, whatever its headers say. `endsWithConnection` tells whether its headers say
     * that only the end of the connection ends the body.
     */
    onHead(head: ResponseHead, endsWithConnection: boolean): boolean;
    onBody(chunk: Buffer): void;
    onComplete(): void;
}

export interface ResponseParser {
    /** Whether a response has begun and has not ended. */
    isInside(): boolean;
    /** Returns the offset in the last chunk at which reading ended: its length, or that of the invalid bytes. */
    readUntil(): number;
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
    let offset = 0;

    const completeBody = () => {
        body = undefined;
        events.onComplete();
    };

    const readHead = (chunk: Buffer, from: number): number => {
        const found = headReader.read(chunk, from);
        if (found === undefined) {
            return chunk.length;
        }
        const reader = createBodyReader(found.head, piece => events.onBody(piece));
        body = events.onHead(found.head, reader?.completesAtEnd() === true) ? reader : undefined;
        if (body === undefined || body.isComplete) {
            completeBody();
        }
        return found.nextOffset;
    };

    const readBody = (reader: BodyReader, chunk: Buffer, from: number): number => {
        const nextOffset = reader.read(chunk, from);
        if (reader.isComplete) {
            completeBody();
        }
        return nextOffset;
    };

    const readAll = (chunk: Buffer) => {
        offset = 0;
        while (offset < chunk.length) {
            offset = body === undefined ? readHead(chunk, offset) : readBody(body, chunk, offset);
        }
    };

    return {
        isInside: () => headReader.isInside() || body !== undefined,
        readUntil: () => offset,
        read: chunk => {
            failure ??= catchInvalid(() => readAll(chunk));
            return failure;
        },
        end: () => {
            const isTruncated = headReader.isInside() || body?.completesAtEnd() === false;
            if (isTruncated) {
                failure ??= new InvalidResponseError("the response is truncated");
            }
            if (failure === undefined && body !== undefined) {
                completeBody();
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
