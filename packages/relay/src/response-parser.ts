/** Reads the answers of one connection to a backend server, whoever they belong to. */
import { validateHeaderName, validateHeaderValue } from "node:http";
import { HTTPParser } from "http-parser-js";

/** Head of an answer. Header names are in lower case; of a repeated header the last value counts. */
export interface ResponseHead {
    status: number;
    headers: ReadonlyMap<string, string>;
    /** Names and values in turn, as they came. */
    rawHeaders: readonly string[];
    /** Whether the connection may carry another request after this answer. */
    keepsAlive: boolean;
}

export interface ResponseParserEvents {
    /** Returns whether a body follows, as far as the headers announce one. */
    onHead(head: ResponseHead): boolean;
    onBody(chunk: Buffer): void;
    /** The answer is complete. */
    onComplete(): void;
}

export interface ResponseParser {
    /** Returns false when the bytes are no answer; the connection is of no further use. */
    read(chunk: Buffer): boolean;
    /** The server closed its side. Returns whether an answer without a length was completed by that, or none was open. */
    end(): boolean;
}

/** Lowest status of HTTP. */
const minStatus = 100;
/** Tells the parser that no body follows. */
const noBody = 1;

/** Creates the parser of one connection. */
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
        // The parser reuses the chunk of the socket, which stays valid as long as it is referenced.
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

/** Whether the head can be passed on. The parser takes names and values that HTTP does not allow. */
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
        // The caller of the parser reports the answer as malformed.
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
