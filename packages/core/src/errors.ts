/** Base class of the errors of all packages. */
import VError from "verror";

/** Options of an error: the error it was turned from, and machine-readable details for logs. */
export interface ErrorOptions {
    cause?: unknown;
    info?: Record<string, string | number | boolean | undefined>;
}

/**
 * Base of every error that a package throws. A layer turns the errors of the layer below into its own subclass and
 * passes the original as `cause`; the message then ends with the cause's message.
 */
export abstract class WaxwingdaleError extends VError {
    constructor(name: string, message: string, options: ErrorOptions = {}) {
        // VError formats its arguments in the manner of printf, so the message goes in as an argument.
        super({ name, cause: toError(options.cause), info: options.info ?? {} }, "%s", message);
    }
}

/** Returns a thrown value as an error. */
export function toError(value: unknown): Error | undefined {
    if (value === undefined || value instanceof Error) {
        return value;
    }
    return new Error(typeof value === "string" ? value : JSON.stringify(value));
}

/** Returns the system error code of an error or of its causes, such as ECONNREFUSED. */
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
