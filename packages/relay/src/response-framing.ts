/** Selects how the end of a response body is found (RFC 9112, section 6.3). */
import { ChunkedBodyReader, SizedBodyReader, UnsizedBodyReader } from "./body-reader.js";
import type { BodyReader } from "./body-reader.js";
import type { ResponseHead } from "./head-reader.js";
import { InvalidResponseError, quote } from "./invalid-response-error.js";

const lengthValue = /^\d{1,15}$/;
const noContentStatus = 204;
const notModifiedStatus = 304;

/**
 * Creates the reader of a response's body; `undefined` if it has none.
 * @throws InvalidResponseError if the headers do not tell where the body ends.
 */
export function createBodyReader(
    head: ResponseHead,
    onBody: (chunk: Buffer) => void,
): BodyReader | undefined {
    const isChunked = readTransferEncoding(head);
    const length = readContentLength(head);
    if (isChunked && length !== undefined) {
        throw new InvalidResponseError("a body in chunks has a Content-Length");
    }
    if (head.status < 200 || head.status === noContentStatus || head.status === notModifiedStatus) {
        return undefined;
    }
    if (isChunked) {
        return new ChunkedBodyReader(onBody);
    }
    return length === undefined ? new UnsizedBodyReader(onBody) : new SizedBodyReader(onBody, length);
}

/** Returns whether the body is in chunks, the only encoding that a request allows its response. */
function readTransferEncoding({ rawHeaders, version }: ResponseHead): boolean {
    const values = getValues(rawHeaders, "transfer-encoding");
    if (values.length === 0) {
        return false;
    }
    if (values.length > 1 || values[0]!.toLowerCase() !== "chunked" || version !== "1.1") {
        throw new InvalidResponseError(`the Transfer-Encoding is ${quote(values.join(", "))}`);
    }
    return true;
}

function readContentLength({ rawHeaders }: ResponseHead): number | undefined {
    const values = getValues(rawHeaders, "content-length");
    if (values.length === 0) {
        return undefined;
    }
    if (!values.every(value => lengthValue.test(value) && value === values[0])) {
        throw new InvalidResponseError(`the Content-Length is ${quote(values.join(", "))}`);
    }
    return Number(values[0]);
}

function getValues(rawHeaders: readonly string[], name: string): string[] {
    return rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name);
}
