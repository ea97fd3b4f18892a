/** Finds the end of a response body. */
import { createPieceLimit } from "@waxwingdale/core";
import { InvalidResponseError, quote } from "./invalid-response-error.js";
import { createLineReader } from "./line-reader.js";

/** How the end of a body is found. */
export enum BodyFraming {
    /** The response has no body. */
    None = "none",
    Sized = "sized",
    /** The server marks the end. */
    Chunked = "chunked",
    UntilClose = "until-close",
}

/** Reads the body of one response. */
export abstract class BodyReader {
    abstract readonly framing: BodyFraming;

    /** Whether the end of the body has been read. */
    isComplete = false;

    constructor(protected readonly onBody: (chunk: Buffer) => void) {}

    /**
     * Reads from `offset` on. Returns the offset of the first byte behind the body, or the length of the chunk.
     * @throws InvalidResponseError
     */
    abstract read(chunk: Buffer, offset: number): number;
}

/** A body with a `Content-Length`. */
export class SizedBodyReader extends BodyReader {
    override readonly framing = BodyFraming.Sized;

    constructor(
        onBody: (chunk: Buffer) => void,
        private remaining: number,
    ) {
        super(onBody);
        this.isComplete = remaining === 0;
    }

    override read(chunk: Buffer, offset: number): number {
        const end = Math.min(chunk.length, offset + this.remaining);
        this.remaining -= end - offset;
        this.isComplete = this.remaining === 0;
        this.onBody(chunk.subarray(offset, end));
        return end;
    }
}

/** A body without a length, which ends with the connection. */
export class UnsizedBodyReader extends BodyReader {
    override readonly framing = BodyFraming.UntilClose;

    override read(chunk: Buffer, offset: number): number {
        this.onBody(chunk.subarray(offset));
        return chunk.length;
    }
}

enum ChunkPart {
    Size = "size",
    Data = "data",
    DataEnd = "data-end",
    Trailer = "trailer",
}

/** A size has more digits than any accepted body needs, and fewer than a number represents exactly. */
const chunkSizeLine = /^([0-9a-f]{1,12})[ \t]*(?:;|$)/i;
/** Maximum length in bytes of a chunk size with its extensions, and of a trailer. */
const maxLineBytes = 16 * 1024;
/** Maximum number of bytes of chunk sizes and trailers beyond those of the body. */
const maxFramingBytes = 64 * 1024;

/** A body in chunks (RFC 9112, section 7.1). Its trailers are dropped. */
export class ChunkedBodyReader extends BodyReader {
    override readonly framing = BodyFraming.Chunked;
    private readonly lines = createLineReader(maxLineBytes);
    private readonly chunks = createPieceLimit();
    private part = ChunkPart.Size;
    /** Bytes of the current chunk that have not been read. */
    private remaining = 0;
    /** Bytes of chunk sizes and trailers beyond those of the body. */
    private framingBytes = 0;

    override read(chunk: Buffer, offset: number): number {
        let position = offset;
        while (position < chunk.length && !this.isComplete) {
            position =
                this.part === ChunkPart.Data
                    ? this.readData(chunk, position)
                    : this.readLine(chunk, position);
        }
        return position;
    }

    private readData(chunk: Buffer, offset: number): number {
        const end = Math.min(chunk.length, offset + this.remaining);
        this.remaining -= end - offset;
        this.framingBytes -= end - offset;
        if (this.remaining === 0) {
            this.part = ChunkPart.DataEnd;
        }
        this.onBody(chunk.subarray(offset, end));
        return end;
    }

    private readLine(chunk: Buffer, offset: number): number {
        const found = this.lines.read(chunk, offset);
        if (found === undefined) {
            return chunk.length;
        }
        this.framingBytes += found.nextOffset - offset;
        if (this.framingBytes > maxFramingBytes) {
            throw new InvalidResponseError("a body has more framing than content");
        }
        this.handleLine(found.line);
        return found.nextOffset;
    }

    private handleLine(line: string): void {
        if (this.part === ChunkPart.Size) {
            this.startChunk(line);
        } else if (this.part === ChunkPart.Trailer) {
            this.isComplete = line === "";
        } else if (line === "") {
            this.part = ChunkPart.Size;
        } else {
            throw new InvalidResponseError(`a chunk is followed by ${quote(line)}`);
        }
    }

    private startChunk(line: string): void {
        const digits = chunkSizeLine.exec(line)?.[1];
        if (digits === undefined) {
            throw new InvalidResponseError(`a chunk has the size ${quote(line)}`);
        }
        this.remaining = parseInt(digits, 16);
        if (this.chunks.isExceededBy(this.remaining)) {
            throw new InvalidResponseError("a body has too many small chunks");
        }
        this.part = this.remaining === 0 ? ChunkPart.Trailer : ChunkPart.Data;
    }
}
