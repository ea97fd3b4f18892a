/** Terms that the checks and comparisons of the operators' documents share. */

export enum Severity {
    /** The document cannot be accepted. */
    Error = "error",
    /** The document can be accepted, but probably does not do what was intended. */
    Warning = "warning",
}

export enum ChangeKind {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}
