/** Exit codes of the command line, which docs/guide/command-line.md documents. */
export enum ExitCode {
    Ok = 0,
    /** The manifest or the configuration has errors, or a trace violates a rule. */
    ManifestErrors = 1,
    /** The command, an argument, an option or a file name is invalid. */
    Usage = 2,
    /** The push is not based on the active manifest. */
    Conflict = 3,
    /** The store or the entry did not respond. Nothing was changed. */
    Unreachable = 4,
    /** A change or a request may or may not have taken effect. */
    OutcomeUnknown = 5,
    /** The store or the entry rejected the request, or does not have what was requested; also any unexpected error. */
    Refused = 6,
}
