/**
 * Tells whether the end of a response is in doubt. A server may break off a response and go on with other bytes, which fill
 * up the body to the length that the head gives, or to the end of the connection.
 */
import { BodyFraming } from "./body-reader.js";
import { createHeadReader } from "./head-reader.js";
import type { ResponseHead } from "./head-reader.js";
import { InvalidResponseError } from "./invalid-response-error.js";
import {
    beginsStatusLine,
    endsInStatusLine,
    findStatusLines,
    runsIntoResponse,
    statusLineStartBytes,
} from "@waxwingdale/core";

/** Why the end of a response is in doubt. */
export enum EndDoubt {
    /** Bytes that begin no response follow a body with a length, so they may belong to it. */
    FollowedByOther = "bytes behind the response",
    /** The body contains the beginning of another response. */
    ContainsResponse = "another response in the body",
}

/** The body of a complete response, and what came behind it. */
export interface EndedBody {
    framing: BodyFraming;
    body: Buffer;
    /** The first bytes behind the response, at most `followingBytes`. */
    following: Buffer;
}

/** Number of bytes behind a response that are looked at: as many as tell whether a status line begins there. */
export const followingBytes = statusLineStartBytes;
/** Number of status lines in a body that are looked at; a body with more of them quotes responses. */
const maxStatusLines = 32;
/** Number of bytes behind a status line that are read as a head. */
const maxQuotedHeadBytes = 4096;

/** `namesRequest` tells whether a head names the request to which it belongs, as those of servers do. */
export function findEndDoubt(
    { framing, body, following }: EndedBody,
    namesRequest: (head: ResponseHead) => boolean,
): EndDoubt | undefined {
    if (framing === BodyFraming.None || body.length === 0) {
        return undefined;
    }
    if (framing === BodyFraming.Sized && isOther(following)) {
        return EndDoubt.FollowedByOther;
    }
    const containsResponse =
        (following.length > 0 && runsIntoResponse(body, following)) ||
        containsHead(body, namesRequest) ||
        (framing === BodyFraming.UntilClose && endsInStatusLine(body));
    return containsResponse ? EndDoubt.ContainsResponse : undefined;
}

/** Whether there are bytes behind a response that begin no other one. */
export function isOther(following: Buffer): boolean {
    return following.length > 0 && !beginsStatusLine(following);
}

/** Whether the body contains a head that names a request, or ends in the middle of one. */
function containsHead(body: Buffer, namesRequest: (head: ResponseHead) => boolean): boolean {
    return findStatusLines(body, maxStatusLines).some(offset => {
        const quoted = body.subarray(offset, offset + maxQuotedHeadBytes);
        const head = readHead(quoted);
        return head === undefined ? endsInHead(quoted, body.length - offset) : namesRequest(head);
    });
}

/** Returns the head at the beginning of the bytes; undefined if it does not end in them, or is none. */
function readHead(bytes: Buffer): ResponseHead | undefined {
    try {
        return createHeadReader().read(bytes, 0)?.head;
    } catch (err) {
        if (err instanceof InvalidResponseError) {
            return undefined;
        }
        throw err;
    }
}

const headLines = /^HTTP\/1\.[01] [1-5]\d\d[^\r\n]*\r\n(?:[!#$%&'*+\-.^\w`|~]+:[^\r\n]*\r\n)*[^\r\n]*\r?$/;

/** Whether the bytes up to the end of the body are the beginning of a head. */
function endsInHead(bytes: Buffer, bytesUntilEnd: number): boolean {
    return bytes.length === bytesUntilEnd && headLines.test(bytes.toString("latin1"));
}
