/** Reads heads of responses: the status line and the headers. */
import { validateHeaderName, validateHeaderValue } from "node:http";
import { HTTPParser } from "http-parser-js";
import { InvalidResponseError, quote } from "./invalid-response-error.js";
import { containsStatusLine } from "@waxwingdale/core";

/** Status and headers of a response. Header names are in lower case; the last value of a repeated header wins. */
export interface ResponseHead {
    /** Version of HTTP, such as "1.1". */
    version: string;
    status: number;
    headers: ReadonlyMap<string, string>;
    /** Values of the headers that were received with different ones, by their names in lower case. */
    contradictory: ReadonlyMap<string, readonly string[]>;
    /** Alternating names and values, as received. */
    rawHeaders: readonly string[];
    /** Whether the connection can be reused after this response. */
    keepsAlive: boolean;
}

export interface HeadReader {
    /**
     * Reads from `offset` on, at the beginning of a head or in its middle. Returns the head and the offset behind it, or
     * `undefined` if the chunk ends before.
     * @throws InvalidResponseError
     */
    read(chunk: Buffer, offset: number): { head: ResponseHead; nextOffset: number } | undefined;
    /** Whether a head has begun and has not ended. */
    isInside(): boolean;
}

const carriageReturn = 0x0d;
const lineFeed = 0x0a;
/** Every head begins with it, so that other bytes are recognized before the end of a line. */
const headStart = Buffer.from("HTTP/1.", "latin1");
const maxHeadBytes = 80 * 1024;
/** The library also accepts more digits, no space, and statuses outside 100 to 599, which HTTP does not have. */
const statusLine = /^HTTP\/1\.[01] ([1-5]\d\d)(?: (.*))?$/;
const switchingProtocolsStatus = 101;
/** Value that tells the parser to expect no body. */
const noBody = 1;

// Each byte stays what it is; with the default, bytes above 127 become other characters.
HTTPParser.encoding = "latin1";

/** The library's parser, for heads only. Its expression for headers takes time by the square of a line's length. */
class HeadParser extends HTTPParser {
    override parseHeader(line: string, headers: string[]): void {
        const colon = line.indexOf(":");
        if (colon <= 0 || line.includes("\r") || containsStatusLine(line)) {
            throw new InvalidResponseError(`a header is ${quote(line)}`);
        }
        headers.push(line.slice(0, colon), line.slice(colon + 1).trim());
    }
}

export function createHeadReader(): HeadReader {
    /** The beginning of a head whose end has not been received. */
    let start: GrowingBuffer | undefined;

    const toResult = (bytes: Buffer, length: number, nextOffset: number) => {
        start = undefined;
        return { head: parseHead(bytes.subarray(0, length)), nextOffset };
    };

    const readStart = (chunk: Buffer, offset: number) => {
        const from = skipEmptyLines(chunk, offset);
        const received = chunk.subarray(from);
        const length = findHeadLength(received, 0);
        if (length !== undefined) {
            return toResult(received, length, from + length);
        }
        if (received.length > 0) {
            start = createGrowingBuffer();
            start.add(received);
        }
        return undefined;
    };

    const readOn = (held: GrowingBuffer, chunk: Buffer, offset: number) => {
        const heldBytes = held.bytes().length;
        held.add(chunk.subarray(offset));
        const length = findHeadLength(held.bytes(), Math.max(0, heldBytes - 2));
        return length === undefined ? undefined : toResult(held.bytes(), length, offset + length - heldBytes);
    };

    return {
        isInside: () => start !== undefined,
        read: (chunk, offset) =>
            start === undefined ? readStart(chunk, offset) : readOn(start, chunk, offset),
    };
}

interface GrowingBuffer {
    /** Adds a piece. Each byte is copied a few times at most, however small the pieces are. */
    add(piece: Buffer): void;
    bytes(): Buffer;
}

function createGrowingBuffer(): GrowingBuffer {
    let block = Buffer.alloc(0);
    let used = 0;
    return {
        add: piece => {
            if (used + piece.length > block.length) {
                const larger = Buffer.allocUnsafeSlow(2 * (used + piece.length));
                block.copy(larger, 0, 0, used);
                block = larger;
            }
            used += piece.copy(block, used);
        },
        bytes: () => block.subarray(0, used),
    };
}

/** A robust client ignores empty lines before a message (RFC 9112, section 2.2). */
function skipEmptyLines(chunk: Buffer, offset: number): number {
    let position = offset;
    while (chunk[position] === carriageReturn || chunk[position] === lineFeed) {
        position += 1;
    }
    return position;
}

function checkStart(received: Buffer): void {
    const start = received.subarray(0, headStart.length);
    if (!headStart.subarray(0, start.length).equals(start)) {
        throw new InvalidResponseError(`a response begins with ${quote(start.toString("latin1"))}`);
    }
}

/**
 * Returns the length of a head with the empty line that ends it; undefined if it is not complete. The empty line does not
 * begin before `from`.
 * @throws InvalidResponseError if the bytes are no head, or too many.
 */
function findHeadLength(bytes: Buffer, from: number): number | undefined {
    checkStart(bytes);
    const length = findEmptyLineEnd(bytes, from);
    if ((length ?? bytes.length) > maxHeadBytes) {
        throw new InvalidResponseError(`the head exceeds ${maxHeadBytes} bytes`);
    }
    return length;
}

function findEmptyLineEnd(bytes: Buffer, from: number): number | undefined {
    for (let index = bytes.indexOf(lineFeed, from); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
        const next = bytes[index + 1] === carriageReturn ? index + 2 : index + 1;
        if (bytes[next] === lineFeed) {
            return next + 1;
        }
    }
    return undefined;
}

interface HeadersInfo {
    versionMajor: number;
    versionMinor: number;
    statusCode: number;
    headers: string[];
    shouldKeepAlive: boolean;
}

/** A server ends all lines of a head in the same way; another end is of bytes that are not its own. */
function checkLineEnds(bytes: Buffer): void {
    const hasReturn = (index: number) => bytes[index - 1] === carriageReturn;
    const first = bytes.indexOf(lineFeed);
    for (let index = first; index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
        if (hasReturn(index) !== hasReturn(first)) {
            throw new InvalidResponseError("the lines of the head end in two ways");
        }
    }
}

function parseHead(bytes: Buffer): ResponseHead {
    checkLineEnds(bytes);
    checkStatusLine(bytes.toString("latin1", 0, bytes.indexOf(lineFeed)).replace(/\r$/, ""));
    const parser = new HeadParser(HTTPParser.RESPONSE);
    let head: ResponseHead | undefined;
    parser[HTTPParser.kOnHeadersComplete] = info => {
        head = createHead(info);
        return noBody;
    };
    const result = parser.execute(bytes);
    if (result instanceof Error) {
        throw result instanceof InvalidResponseError
            ? result
            : new InvalidResponseError(`the head is not HTTP: ${result.message}`);
    }
    if (head === undefined) {
        throw new InvalidResponseError("the head has no status line");
    }
    return head;
}

function checkStatusLine(line: string): void {
    const [, status, reason = ""] = statusLine.exec(line) ?? [];
    if (status === undefined || Number(status) === switchingProtocolsStatus || containsStatusLine(reason)) {
        throw new InvalidResponseError(`the status line is ${quote(line)}`);
    }
}

function createHead(info: HeadersInfo): ResponseHead {
    const { headers: rawHeaders } = info;
    const headers = new Map<string, string>();
    const contradictory = new Map<string, readonly string[]>();
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!;
        const value = rawHeaders[index + 1]!;
        checkHeader(name, value);
        const key = name.toLowerCase();
        const before = headers.get(key) ?? value;
        if (before !== value) {
            contradictory.set(key, [...(contradictory.get(key) ?? [before]), value]);
        }
        headers.set(key, value);
    }
    return {
        version: `${info.versionMajor}.${info.versionMinor}`,
        status: info.statusCode,
        headers,
        contradictory,
        rawHeaders,
        keepsAlive: info.shouldKeepAlive,
    };
}

function checkHeader(name: string, value: string): void {
    try {
        validateHeaderName(name);
        validateHeaderValue(name, value);
    } catch {
        throw new InvalidResponseError(`a header is ${quote(`${name}: ${value}`)}`);
    }
}
