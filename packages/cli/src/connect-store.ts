/** Connects to the object store over HTTP. */
import type { Clock } from "@waxwingdale/core";
import { createHttpObjectStore } from "@waxwingdale/store";
import type { ConnectedStore } from "./command-context.js";

/** Longer than the timeout of an entry, since an operator can wait for a slow store. */
const requestTimeoutMs = 5000;

/** Creates a client of the store at `address`. */
export function connectStore(address: string, clock: Clock): ConnectedStore {
    const store = createHttpObjectStore({ address, clock, requestTimeoutMs });
    return { store, close: () => store.close() };
}
