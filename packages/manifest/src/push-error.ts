/** Errors of a push. */
import { WaxwingdaleError } from "@waxwingdale/core";
import type { ErrorOptions } from "@waxwingdale/core";
import type { Problem } from "./problem.js";

/** Another manifest is in force than the one that the push is based on. Nothing was written. */
export class PushConflictError extends WaxwingdaleError {
    constructor(
        message: string,
        /** Generation in force; undefined when there is none. */
        readonly currentGeneration: number | undefined,
        options?: ErrorOptions,
    ) {
        super("PushConflictError", message, options);
    }
}

/** A live entry does not know the manifest's format. Nothing was written. */
export class FormatNotSupportedError extends WaxwingdaleError {
    constructor(
        message: string,
        /** Ids of the entries. */
        readonly entries: readonly string[],
    ) {
        super("FormatNotSupportedError", message);
    }
}

/** The manifest has errors. Nothing was written. */
export class ManifestInvalidError extends WaxwingdaleError {
    constructor(
        message: string,
        readonly problems: readonly Problem[],
    ) {
        super("ManifestInvalidError", message);
    }
}

/** The store refuses the manifest for good, or holds one that cannot be read. Nothing was written. */
export class PushRejectedError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("PushRejectedError", message, options);
    }
}

/** The store cannot be reached. Nothing was written. */
export class PushUnavailableError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("PushUnavailableError", message, options);
    }
}

/** The answer to the write was lost and reading back did not settle it: the manifest may be in force. */
export class PushOutcomeUnknownError extends WaxwingdaleError {
    constructor(
        message: string,
        readonly pushId: string,
        options?: ErrorOptions,
    ) {
        super("PushOutcomeUnknownError", message, options);
    }
}
