/** An object store that injects faults. */
import { ObjectStore, StoreOutcomeUnknownError, StoreUnavailableError } from "@waxwingdale/core";
import type { InstanceRecord, StoredObject, WatchResult } from "@waxwingdale/core";

export enum Fault {
    None = "none",
    /** The call has no effect, and the caller knows that. */
    Unavailable = "unavailable",
    /** The write takes effect, but its response is lost. */
    ResponseLost = "answer-lost",
    /** The write never takes effect, and the caller gets no response. */
    RequestLost = "request-lost",
    /** The caller times out, and the write reaches the store just before the caller's next write. */
    Delayed = "late",
}

/** Each call consumes one fault; calls succeed if none is left. `order` is awaited before each call. */
export class FaultyStore extends ObjectStore {
    private delayedWrite: (() => Promise<unknown>) | undefined;

    constructor(
        private readonly store: ObjectStore,
        private readonly faults: Fault[] = [],
        private readonly order: () => Promise<unknown> = () => Promise.resolve(),
    ) {
        super();
    }

    get(key: string): Promise<StoredObject | undefined> {
        return this.read(() => this.store.get(key));
    }

    list(prefix: string): Promise<StoredObject[]> {
        return this.read(() => this.store.list(prefix));
    }

    async put(key: string, value: unknown, expectedVersion: number): Promise<number> {
        await this.deliverDelayedWrite();
        await this.order();
        const fault = this.faults.shift() ?? Fault.None;
        const send = () => this.store.put(key, value, expectedVersion);
        if (fault === Fault.Unavailable) {
            throw new StoreUnavailableError("down");
        }
        if (fault === Fault.None) {
            return send();
        }
        if (fault === Fault.ResponseLost) {
            await send().catch(() => undefined);
        }
        this.delayedWrite = fault === Fault.Delayed ? send : undefined;
        throw new StoreOutcomeUnknownError("lost");
    }

    /** Sends the delayed write, if there is one, to the store. */
    async deliverDelayedWrite(): Promise<void> {
        const send = this.delayedWrite;
        this.delayedWrite = undefined;
        await send?.().catch(() => undefined);
    }

    delete(): Promise<void> {
        throw new Error("not used");
    }

    watch(): Promise<WatchResult> {
        throw new Error("not used");
    }

    listInstances(): Promise<InstanceRecord[]> {
        throw new Error("not used");
    }

    private async read<T>(call: () => Promise<T>): Promise<T> {
        await this.order();
        if (this.faults.shift() === Fault.Unavailable) {
            throw new StoreUnavailableError("down");
        }
        return call();
    }
}
