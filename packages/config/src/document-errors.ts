/** Errors for values that a document cannot apply. */
import { WaxwingdaleError } from "@waxwingdale/core";
import type { ErrorOptions } from "@waxwingdale/core";

/** The value is well-formed, but this release cannot apply it, for example because of its format. */
export class UnsupportedDocumentError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("UnsupportedDocumentError", message, options);
    }
}

/** The value is invalid for this document, or older than its sender announced. */
export class InvalidDocumentError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("InvalidDocumentError", message, options);
    }
}
