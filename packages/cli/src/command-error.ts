/** Errors that end a command, each with an exit code and a fix. */
import {
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
    WaxwingdaleError,
    getErrorMessage,
} from "@waxwingdale/core";
import {
    FormatNotSupportedError,
    ManifestInvalidError,
    PushConflictError,
    PushOutcomeUnknownError,
    PushRejectedError,
    PushUnavailableError,
} from "@waxwingdale/manifest";
import { ExitCode } from "./exit-code.js";

export class CommandError extends WaxwingdaleError {
    constructor(
        readonly exitCode: ExitCode,
        message: string,
        readonly fix: string,
        cause?: unknown,
    ) {
        super("CommandError", message, { cause });
    }
}

type ErrorClass = abstract new (...args: never[]) => Error;

const errorMappings: [ErrorClass, ExitCode, string][] = [
    [ManifestInvalidError, ExitCode.ManifestErrors, "run `waxwingdale check` on the file"],
    [PushConflictError, ExitCode.Conflict, "run `waxwingdale diff` on the file, then push with the new base"],
    [FormatNotSupportedError, ExitCode.Refused, "upgrade the named entries first"],
    [PushRejectedError, ExitCode.Refused, "correct the problem that the message names"],
    [
        PushOutcomeUnknownError,
        ExitCode.OutcomeUnknown,
        "run `waxwingdale show`, or retry the push with its id",
    ],
    [
        PushUnavailableError,
        ExitCode.Unreachable,
        "check --store and that the store is running, then retry the push",
    ],
    [
        StoreUnavailableError,
        ExitCode.Unreachable,
        "check the store's address and that the store is running, then retry",
    ],
    [StoreConflictError, ExitCode.Conflict, "read the object again"],
    [StoreOutcomeUnknownError, ExitCode.OutcomeUnknown, "read the object again"],
    [StoreRejectedError, ExitCode.Refused, "correct the problem that the message names"],
];

/** Converts any error to the one that ends the command. */
export function toCommandError(err: unknown): CommandError {
    if (err instanceof CommandError) {
        return err;
    }
    const found = errorMappings.find(([type]) => err instanceof type);
    if (found === undefined) {
        return new CommandError(
            ExitCode.Refused,
            `unexpected error: ${getErrorMessage(err)}`,
            "report this as a bug in the command line",
        );
    }
    const [, exitCode, fix] = found;
    const pushId = err instanceof PushOutcomeUnknownError ? ` (--push-id ${err.pushId})` : "";
    return new CommandError(exitCode, getErrorMessage(err), `${fix}${pushId}`);
}
