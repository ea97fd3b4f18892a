/** Definition of a command. */
import type { CommandContext } from "./command-context.js";
import type { ExitCode } from "./exit-code.js";
import type { OptionName } from "./options.js";

export interface CommandSpec {
    /** Name and arguments, such as "check <file>". */
    usage: string;
    describe: string;
    /** Options in addition to the global ones. */
    options?: readonly OptionName[];
    example: string;
    /** Runs the command. Omitted optional arguments are undefined. */
    run: (ctx: CommandContext, ...args: (string | undefined)[]) => Promise<ExitCode>;
}
