/** Connects to the object store over HTTP. */
import type { Clock } from "@waxwingdale/core";
import { createHttpObjectStore } from "@waxwingdale/store";
import type { ConnectedStore } from "./command-context.js";

/** An operator waits longer for a slow store than an entry does. */
const requestTimeoutMs = 5000;

/** Creates the store at `address`. */
export function connectStore(address: string, clock: Clock): ConnectedStore {
    const store = createHttpObjectStore({ address, clock, requestTimeoutMs });
    return { store, close: () => store.close() };
}
