/** Errors that a push can throw. */
import { WaxwingdaleError } from "@waxwingdale/core";
import type { ErrorOptions } from "@waxwingdale/core";
import type { Problem } from "./problem.js";

/** The active manifest is not the one that the push is based on. Nothing was written. */
export class PushConflictError extends WaxwingdaleError {
    constructor(
        message: string,
        /** Active generation; undefined if there is none. */
        readonly currentGeneration: number | undefined,
        options?: ErrorOptions,
    ) {
        super("PushConflictError", message, options);
    }
}

/** A live entry does not support the manifest's format version. Nothing was written. */
export class FormatNotSupportedError extends WaxwingdaleError {
    constructor(
        message: string,
        /** Ids of the entries that do not support the format version. */
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

/** The store rejects the manifest permanently, or the stored one cannot be read. Nothing was written. */
export class PushRejectedError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("PushRejectedError", message, options);
    }
}

/** The store is unavailable. Nothing was written. */
export class PushUnavailableError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("PushUnavailableError", message, options);
    }
}

/** The response to the write was lost, and reading the manifest back was inconclusive: it may be active. */
export class PushOutcomeUnknownError extends WaxwingdaleError {
    constructor(
        message: string,
        readonly pushId: string,
        options?: ErrorOptions,
    ) {
        super("PushOutcomeUnknownError", message, options);
    }
}
