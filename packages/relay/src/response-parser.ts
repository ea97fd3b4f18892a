/** Parses the HTTP/1.1 responses on a connection to a backend server. It does not match them to requests. */
import { validateHeaderName, validateHeaderValue } from "node:http";
import { HTTPParser } from "http-parser-js";

/** Status and headers of a response. Header names are in lower case; the last value of a repeated header wins. */
export interface ResponseHead {
    status: number;
    headers: ReadonlyMap<string, string>;
    /** Alternating names and values, as received. */
    rawHeaders: readonly string[];
    /** Whether the connection can be reused after this response. */
    keepsAlive: boolean;
}

export interface ResponseParserEvents {
    /** Returns false if the response has no body, whatever its headers say. */
    onHead(head: ResponseHead): boolean;
    onBody(chunk: Buffer): void;
    onComplete(): void;
}

export interface ResponseParser {
    /** Returns false if the bytes are not a valid response. The connection cannot be used any more. */
    read(chunk: Buffer): boolean;
    /**
     * Handles the end of the stream, which completes a response without a length. Returns false if a response was
     * truncated or malformed.
     */
    end(): boolean;
}

const minStatus = 100;
/** Value that tells the parser to expect no body. */
const noBody = 1;

export function createResponseParser(events: ResponseParserEvents): ResponseParser {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    let isMalformed = false;
    parser[HTTPParser.kOnHeadersComplete] = info => {
        isMalformed ||= !isWellFormed(info);
        if (isMalformed) {
            return noBody;
        }
        const hasBody = events.onHead(readHead(info));
        return hasBody ? undefined : noBody;
    };
    parser[HTTPParser.kOnBody] = (buffer, offset, length) => {
        if (isMalformed) {
            return;
        }
        // A view of the socket's chunk is enough: Node does not reuse the memory while it is referenced.
        events.onBody(buffer.subarray(offset, offset + length));
    };
    parser[HTTPParser.kOnMessageComplete] = () => {
        if (!isMalformed) {
            events.onComplete();
        }
    };
    return {
        read: chunk => !(parser.execute(chunk) instanceof Error) && !isMalformed,
        end: () => !(parser.finish() instanceof Error) && !isMalformed,
    };
}

interface HeadersInfo {
    statusCode: number;
    headers: string[];
    shouldKeepAlive: boolean;
}

/** Whether the head can be forwarded. The parser accepts header names and values that HTTP does not allow. */
function isWellFormed({ statusCode, headers }: HeadersInfo): boolean {
    if (statusCode < minStatus) {
        return false;
    }
    try {
        for (let index = 0; index + 1 < headers.length; index += 2) {
            validateHeaderName(headers[index]!);
            validateHeaderValue(headers[index]!, headers[index + 1]!);
        }
        return true;
    } catch {
        // The connection reports the response as malformed.
        return false;
    }
}

function readHead({ statusCode, headers: rawHeaders, shouldKeepAlive }: HeadersInfo): ResponseHead {
    const headers = new Map<string, string>();
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        headers.set(rawHeaders[index]!.toLowerCase(), rawHeaders[index + 1]!);
    }
    return { status: statusCode, headers, rawHeaders, keepsAlive: shouldKeepAlive };
}
