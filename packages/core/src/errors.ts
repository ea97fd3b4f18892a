/** Base class and helpers for the errors of all packages. */
import VError from "verror";

/** Error options: the underlying error, and machine-readable details for logs. */
export interface ErrorOptions {
    cause?: unknown;
    info?: Record<string, string | number | boolean | undefined>;
}

/**
 * Base class of all errors thrown by the packages. Each layer wraps the errors of the layer below in its own subclass
 * and passes the original as `cause`; the message then ends with the message of the cause.
 */
export abstract class WaxwingdaleError extends VError {
    constructor(name: string, message: string, options: ErrorOptions = {}) {
        // VError treats its first argument as a printf format string, so the message is passed as a value.
        super({ name, cause: toError(options.cause), info: options.info ?? {} }, "%s", message);
    }
}

/** Converts a thrown value to an error. */
export function toError(value: unknown): Error | undefined {
    if (value === undefined || value instanceof Error) {
        return value;
    }
    return new Error(typeof value === "string" ? value : JSON.stringify(value));
}

/** Returns the first error code in a chain of causes, such as ECONNREFUSED. */
export function getErrorCode(err: unknown): string | undefined {
    let current: unknown = err;
    for (let depth = 0; depth < 8 && current instanceof Error; depth++) {
        const code = (current as Error & { code?: unknown }).code;
        if (typeof code === "string") {
            return code;
        }
        current = VError.cause(current) ?? (current as Error & { cause?: unknown }).cause;
    }
    return undefined;
}

/** Returns the message of any thrown value. */
export function getErrorMessage(err: unknown): string {
    return err instanceof Error ? err.message : String(err);
}
