/** Validation of addresses on the command line. */
import { CommandError } from "./command-error.js";
import { ExitCode } from "./exit-code.js";

const hostAndPort = /^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):(\d{1,5})$/;

/** Returns whether a text has the form host:port. */
export function isAddress(text: string): boolean {
    const match = hostAndPort.exec(text);
    return !!match && Number(match[2]) >= 1 && Number(match[2]) <= 65_535;
}

/**
 * Returns the address that an option has.
 * @throws CommandError if it is malformed
 */
export function checkAddress(text: string, option: string): string {
    if (!isAddress(text)) {
        throw new CommandError(
            ExitCode.Usage,
            `"${text}" is not a valid address`,
            `pass ${option} as host:port, such as 127.0.0.1:7400`,
        );
    }
    return text;
}
