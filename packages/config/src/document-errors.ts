/** Errors of values that a document does not apply. */
import { WaxwingdaleError } from "@waxwingdale/core";
import type { ErrorOptions } from "@waxwingdale/core";

/** The value is well-formed but this release cannot apply it, for example for its format. */
export class UnsupportedDocumentError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("UnsupportedDocumentError", message, options);
    }
}

/** The value is not one of this document, or it is older than its sender said. */
export class InvalidDocumentError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("InvalidDocumentError", message, options);
    }
}
