/** Writes to an object that only the holder of a lease may change. */
import { StoreConflictError, StoreOutcomeUnknownError } from "@waxwingdale/core";
import type { ObjectStore } from "@waxwingdale/core";
import { LeaseLostError } from "./lease.js";
import type { Lease } from "./lease.js";

/** Order of a fenced value: values are compared by epoch first, then by step. */
export interface FencedOrder {
    /** Epoch of the lease under which the value was written. */
    epoch: number;
    /** Increases with each attempted write within an epoch. */
    step: number;
}

export interface FencedWriterOptions {
    store: ObjectStore;
    key: string;
    lease: Lease;
    /** Returns the epoch and step of a stored value, or undefined if it has none. */
    getOrder: (value: unknown) => FencedOrder | undefined;
}

export interface FencedWriter<Value> {
    /**
     * Writes the value that `makeValue` returns for the next epoch and step, and returns it. The write is conditional
     * on the version of the object, and fails if the object has a higher epoch.
     * @throws LeaseLostError, StoreConflictError, StoreUnavailableError, StoreOutcomeUnknownError, StoreRejectedError
     */
    write(makeValue: (order: FencedOrder) => Value, signal?: AbortSignal): Promise<Value>;
}

interface Stored extends FencedOrder {
    version: number;
    era: number | undefined;
}

/** Creates a writer that reads the object only if it doesn't know the current version. */
export function createFencedWriter<Value>(options: FencedWriterOptions): FencedWriter<Value> {
    const { store, key, lease, getOrder } = options;
    let stored: Stored | undefined;
    /** Last attempted step. A write whose response was lost may still take effect, so its step is never reused. */
    let lastAttempt: FencedOrder = { epoch: 0, step: 0 };

    const read = async (signal?: AbortSignal): Promise<Stored> => {
        const object = await store.get(key, signal);
        const order = (object && getOrder(object.value)) ?? { epoch: 0, step: 0 };
        return { epoch: order.epoch, step: order.step, version: object?.version ?? 0, era: store.era() };
    };

    const requireEpoch = (): number => {
        const epoch = lease.epoch();
        if (epoch === undefined) {
            throw new LeaseLostError(`cannot write ${key}: the lease is not held`);
        }
        return epoch;
    };

    /** Reads back a write with unknown outcome. Epoch and step identify it, since each epoch has only one holder. */
    const readBack = async (written: FencedOrder, err: unknown, signal?: AbortSignal): Promise<Stored> => {
        const found = await read(signal);
        if (found.epoch !== written.epoch || found.step !== written.step) {
            throw err;
        }
        return found;
    };

    const put = async (value: Value, current: Stored, next: FencedOrder, signal?: AbortSignal) => {
        stored = undefined;
        try {
            const version = await store.put(key, value, current.version, signal, current.era);
            stored = { ...next, version, era: current.era };
        } catch (err) {
            if (!(err instanceof StoreOutcomeUnknownError) && !(err instanceof StoreConflictError)) {
                throw err;
            }
            stored = await readBack(next, err, signal);
        }
    };

    return {
        write: async (makeValue, signal) => {
            const epoch = requireEpoch();
            const current =
                stored?.epoch === epoch && stored.era === store.era() ? stored : await read(signal);
            if (current.epoch > epoch) {
                throw new LeaseLostError(
                    `cannot write ${key}: stored epoch ${current.epoch} is newer than epoch ${epoch}`,
                );
            }
            const next = { epoch, step: Math.max(stepIn(current, epoch), stepIn(lastAttempt, epoch)) + 1 };
            const value = makeValue(next);
            if (requireEpoch() !== epoch) {
                throw new LeaseLostError(`cannot write ${key}: epoch ${epoch} has ended`);
            }
            lastAttempt = next;
            await put(value, current, next, signal);
            return value;
        },
    };
}

function stepIn(order: FencedOrder, epoch: number): number {
    return order.epoch === epoch ? order.step : 0;
}
