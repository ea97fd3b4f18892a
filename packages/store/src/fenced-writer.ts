/** Writes of an object that only the holder of a lease may change. */
import { StoreConflictError, StoreOutcomeUnknownError } from "@waxwingdale/core";
import type { ObjectStore } from "@waxwingdale/core";
import { LeaseLostError } from "./lease.js";
import type { Lease } from "./lease.js";

/** Position of a fenced value: later holding periods come after earlier ones, then steps count. */
export interface FencedOrder {
    /** Epoch of the lease under which the value was written. */
    epoch: number;
    /** Grows by one with each write of a holding period. */
    step: number;
}

export interface FencedWriterOptions {
    store: ObjectStore;
    key: string;
    lease: Lease;
    /** Reads epoch and step from a stored value; undefined when it has none. */
    getOrder: (value: unknown) => FencedOrder | undefined;
}

export interface FencedWriter<Value> {
    /**
     * Writes the value that `makeValue` returns for the next epoch and step, and returns it. The write is conditional on
     * the version of the object, and the object holds no greater epoch.
     * @throws LeaseLostError, StoreConflictError, StoreUnavailableError, StoreOutcomeUnknownError, StoreRejectedError
     */
    write(makeValue: (order: FencedOrder) => Value, signal?: AbortSignal): Promise<Value>;
}

interface Stored extends FencedOrder {
    version: number;
}

/** Creates a writer. It reads the object only when it does not know its version. */
export function createFencedWriter<Value>(options: FencedWriterOptions): FencedWriter<Value> {
    const { store, key, lease, getOrder } = options;
    let stored: Stored | undefined;
    /** The last step tried. A write whose answer was lost may still arrive, so its step is never used again. */
    let tried: FencedOrder = { epoch: 0, step: 0 };

    const read = async (signal?: AbortSignal): Promise<Stored> => {
        const object = await store.get(key, signal);
        const order = (object && getOrder(object.value)) ?? { epoch: 0, step: 0 };
        return { epoch: order.epoch, step: order.step, version: object?.version ?? 0 };
    };

    const requireEpoch = (): number => {
        const epoch = lease.epoch();
        if (epoch === undefined) {
            throw new LeaseLostError(`cannot write ${key}: the lease is not held`);
        }
        return epoch;
    };

    /** Resolves a lost answer: epoch and step name the write, since only one process ever has an epoch. */
    const confirm = async (written: FencedOrder, err: unknown, signal?: AbortSignal): Promise<Stored> => {
        const found = await read(signal);
        if (found.epoch !== written.epoch || found.step !== written.step) {
            throw err;
        }
        return found;
    };

    const put = async (value: Value, current: Stored, next: FencedOrder, signal?: AbortSignal) => {
        stored = undefined;
        try {
            stored = { ...next, version: await store.put(key, value, current.version, signal) };
        } catch (err) {
            if (!(err instanceof StoreOutcomeUnknownError) && !(err instanceof StoreConflictError)) {
                throw err;
            }
            stored = await confirm(next, err, signal);
        }
    };

    return {
        write: async (makeValue, signal) => {
            const epoch = requireEpoch();
            const current = stored?.epoch === epoch ? stored : await read(signal);
            if (current.epoch > epoch) {
                throw new LeaseLostError(
                    `cannot write ${key}: it holds epoch ${current.epoch}, not ${epoch}`,
                );
            }
            const next = { epoch, step: Math.max(stepIn(current, epoch), stepIn(tried, epoch)) + 1 };
            const value = makeValue(next);
            if (requireEpoch() !== epoch) {
                throw new LeaseLostError(`cannot write ${key}: epoch ${epoch} is over`);
            }
            tried = next;
            await put(value, current, next, signal);
            return value;
        },
    };
}

function stepIn(order: FencedOrder, epoch: number): number {
    return order.epoch === epoch ? order.step : 0;
}
