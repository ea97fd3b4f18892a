/** Exit codes of the command line. They are documented in docs/guide/command-line.md. */
export enum ExitCode {
    Ok = 0,
    /** The manifest has errors, or a trace breaks a rule. */
    ManifestErrors = 1,
    /** The command, an argument, an option or a file name is wrong. */
    Usage = 2,
    /** Another manifest is in force than the push is based on. */
    Conflict = 3,
    /** The store or the entry did not answer. Nothing was changed. */
    Unreachable = 4,
    /** A change or a request may or may not have taken effect. */
    OutcomeUnknown = 5,
    /** The store or the entry answered with a refusal, or does not know what was asked for. */
    Refused = 6,
}
