/** Check of the operators' configuration for the command line, which knows nothing of the platform. */
import type { ObjectStore } from "@waxwingdale/core";
import { PlatformStore, checkConfigObject, configKey } from "@waxwingdale/platform";
import type { ConfigObjectCheck } from "@waxwingdale/platform";
import { defaultBounds } from "./settings.js";

export type { ConfigObjectCheck };

/** A configuration as it is in the store or in a file. */
export interface ConfigObject {
    spec: unknown;
}

/** Checks a configuration and compares it with the one in force, if given. Assumes the default window of quotas. */
export function checkConfig({ spec }: ConfigObject, inForce: ConfigObject | undefined): ConfigObjectCheck {
    return checkConfigObject(spec, { quotaWindowSeconds: defaultBounds.quotaWindowSeconds, inForce });
}

/**
 * Returns the configuration in the store, or undefined if there is none.
 * @throws StoreUnavailableError
 */
export async function readStoredConfig(store: ObjectStore): Promise<ConfigObject | undefined> {
    const object = await store.get(configKey);
    return object && { spec: object.value };
}

/** Creates a client of the platform's store at `address`. */
export function connectPlatformStore(address: string): { store: ObjectStore; close(): Promise<void> } {
    const store = new PlatformStore({ address });
    return { store, close: async () => store.close() };
}
