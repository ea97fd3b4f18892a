/** What commands use of their surroundings. Tests replace all of it. */
import type { Clock, ObjectStore } from "@waxwingdale/core";
import type { OptionValues } from "./options.js";

/** A store with the connections that it holds. */
export interface ConnectedStore {
    store: ObjectStore;
    close(): Promise<void>;
}

/** An answer of an entry: its status, the body's text, and the outcome header. */
export interface EntryResponse {
    status: number;
    text: string;
    outcome: string | undefined;
}

/**
 * Reads a page of an entry, or with the method PUT starts what the page stands for. `key` is the fleet key, if the
 * listener needs one.
 * @throws CommandError when the entry does not answer
 */
export type EntryFetch = (
    address: string,
    path: string,
    key: string | undefined,
    method?: "GET" | "PUT",
) => Promise<EntryResponse>;

export interface CommandEnvironment {
    env: Record<string, string | undefined>;
    clock: Clock;
    readFile: (path: string) => Promise<string>;
    writeFile: (path: string, text: string) => Promise<void>;
    /** The lines of standard input. */
    readLines: () => AsyncIterable<string>;
    /** Writes one text to standard output. */
    print: (text: string) => void;
    /** Writes one text to standard error. */
    printError: (text: string) => void;
    connectStore: (address: string) => ConnectedStore;
    fetchFromEntry: EntryFetch;
    createPushId: () => string;
}

export interface CommandContext extends CommandEnvironment {
    options: OptionValues;
    /** Runs `use` with the store that --store or WAXWINGDALE_STORE names. */
    withStore: <T>(use: (store: ObjectStore) => Promise<T>) => Promise<T>;
    /** Returns the fleet key of --key-file or WAXWINGDALE_FLEET_KEY. */
    readFleetKey: () => Promise<string>;
    /** Prints a result: as JSON with --json, otherwise the text that `format` returns. */
    printResult: (value: unknown, format: () => string) => void;
}
