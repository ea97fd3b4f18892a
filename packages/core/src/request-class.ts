/** Class of a request, declared for each route in the manifest. */
export enum RequestClass {
    /** A small read that a person waits for. */
    Lookup = "lookup",
    /** A request with an effect on the backend server. */
    Write = "write",
    /** A large upload or download. */
    Bulk = "bulk",
}

/** Classes from the most to the least important; the last is refused first under overload. */
export const classesByImportance: readonly RequestClass[] = [
    RequestClass.Lookup,
    RequestClass.Write,
    RequestClass.Bulk,
];
