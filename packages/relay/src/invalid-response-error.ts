import { WaxwingdaleError } from "@waxwingdale/core";

/** Bytes of a backend server are not a response that HTTP allows. The message says which part of it is wrong. */
export class InvalidResponseError extends WaxwingdaleError {
    constructor(message: string) {
        super("InvalidResponseError", message);
    }
}

/** Maximum number of received characters that a message repeats. */
const maxQuotedLength = 40;

/** Quotes received text for a message. */
export function quote(text: string): string {
    return JSON.stringify(text.slice(0, maxQuotedLength));
}
