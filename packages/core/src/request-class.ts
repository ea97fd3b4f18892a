/** Class of a request, declared per route in the manifest. */
export enum RequestClass {
    /** A small interactive read. */
    Lookup = "lookup",
    /** A request that changes state on the backend server. */
    Write = "write",
    /** A large upload or download. */
    Bulk = "bulk",
}

/** Classes in descending order of importance; the last is rejected first under overload. */
export const classesByImportance: readonly RequestClass[] = [
    RequestClass.Lookup,
    RequestClass.Write,
    RequestClass.Bulk,
];
