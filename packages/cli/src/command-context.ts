/** Environment and context of commands. Tests replace the whole environment. */
import type { Clock, ObjectStore } from "@waxwingdale/core";
import type { OptionValues } from "./options.js";

/** A store client, which has to be closed after use. */
export interface ConnectedStore {
    store: ObjectStore;
    close(): Promise<void>;
}

/** Response of an entry: its status, body and outcome header. */
export interface EntryResponse {
    status: number;
    text: string;
    outcome: string | undefined;
}

/**
 * Sends a request to an entry: GET reads an endpoint, and PUT starts its action. `key` is the fleet key, if the
 * listener requires one.
 * @throws CommandError if the entry does not respond
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
    /** Reads the lines of standard input. */
    readLines: () => AsyncIterable<string>;
    /** Writes a text and a newline to standard output. */
    print: (text: string) => void;
    /** Writes a text and a newline to standard error. */
    printError: (text: string) => void;
    connectStore: (address: string) => ConnectedStore;
    /** Connects to the store of the gateways' platform, which holds their configuration. */
    connectPlatformStore: (address: string) => ConnectedStore;
    fetchFromEntry: EntryFetch;
    createPushId: () => string;
}

export interface CommandContext extends CommandEnvironment {
    options: OptionValues;
    /** Calls `use` with a client of the store given by --store or WAXWINGDALE_STORE. */
    withStore: <T>(use: (store: ObjectStore) => Promise<T>) => Promise<T>;
    /** Returns the fleet key given by --key-file or WAXWINGDALE_FLEET_KEY. */
    readFleetKey: () => Promise<string>;
    /** Prints a result: as JSON with --json, otherwise the text that `format` returns. */
    printResult: (value: unknown, format: () => string) => void;
}
