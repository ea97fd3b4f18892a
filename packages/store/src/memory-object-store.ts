/** In-memory object store for tests and for the stand-in of the object API. */
import {
    ObjectStore,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
    maxObjectBytes,
} from "@waxwingdale/core";
import type { Clock, InstanceRecord, ObjectChange, StoredObject, WatchResult } from "@waxwingdale/core";

/** Faults that a test can inject. They apply to calls that start afterwards. */
export interface StoreFaults {
    /** Every call fails without effect. */
    down: boolean;
    /** Delay of each call in milliseconds. */
    delayMs: number;
    /** Number of upcoming writes that take effect but whose response is lost. */
    loseWriteAnswers: number;
}

export interface MemoryObjectStoreOptions {
    /**
     * Number of changes kept for watches.
     * @default 10_000
     */
    historyLength?: number;
}

/** Stores each object as JSON text, so that a caller cannot change a stored value in place. */
export class MemoryObjectStore extends ObjectStore {
    readonly faults: StoreFaults = { down: false, delayMs: 0, loseWriteAnswers: 0 };
    readonly counters = { reads: 0, writes: 0 };
    /** Instances that `listInstances` returns, set by tests and the stand-in. */
    instances: InstanceRecord[] = [];
    private version = 0;
    private readonly objects = new Map<string, { version: number; text: string }>();
    private readonly history: ObjectChange[] = [];
    private readonly waiters = new Set<() => void>();

    constructor(
        protected readonly clock: Clock,
        private readonly options: MemoryObjectStoreOptions = {},
    ) {
        super();
    }

    async get(key: string, signal?: AbortSignal): Promise<StoredObject | undefined> {
        await this.beginRead(signal);
        const found = this.objects.get(key);
        return found && { key, version: found.version, value: JSON.parse(found.text) as unknown };
    }

    async list(prefix: string, signal?: AbortSignal): Promise<StoredObject[]> {
        await this.beginRead(signal);
        return [...this.objects]
            .filter(([key]) => key.startsWith(prefix))
            .sort(([a], [b]) => (a < b ? -1 : 1))
            .map(([key, { version, text }]) => ({ key, version, value: JSON.parse(text) as unknown }));
    }

    async put(key: string, value: unknown, expectedVersion: number, signal?: AbortSignal): Promise<number> {
        await this.beginWrite(signal);
        const text = JSON.stringify(value);
        if (Buffer.byteLength(text) > maxObjectBytes) {
            throw new StoreRejectedError(`object ${key} is larger than ${maxObjectBytes} bytes`);
        }
        this.checkVersion(key, expectedVersion);
        const version = ++this.version;
        this.objects.set(key, { version, text });
        this.record({ key, version, value: JSON.parse(text) as unknown, deleted: false });
        this.loseResponse(key);
        return version;
    }

    async delete(key: string, expectedVersion: number, signal?: AbortSignal): Promise<void> {
        await this.beginWrite(signal);
        this.checkVersion(key, expectedVersion);
        this.objects.delete(key);
        this.record({ key, version: ++this.version, value: undefined, deleted: true });
        this.loseResponse(key);
    }

    async watch(
        prefix: string,
        sinceVersion: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<WatchResult> {
        await this.beginRead(signal);
        const oldest = this.history[0]?.version ?? this.version + 1;
        if (sinceVersion < oldest - 1 && sinceVersion < this.version) {
            return { changes: [], version: this.version, expired: true };
        }
        const end = this.clock.now() + waitMs;
        for (;;) {
            const changes = this.history.filter(
                change => change.version > sinceVersion && change.key.startsWith(prefix),
            );
            const remaining = end - this.clock.now();
            if (changes.length > 0 || remaining <= 0 || signal?.aborted) {
                return { changes, version: this.version, expired: false };
            }
            await this.waitForChange(remaining, signal);
            if (this.faults.down) {
                throw new StoreUnavailableError("the store is down");
            }
        }
    }

    async listInstances(signal?: AbortSignal): Promise<InstanceRecord[]> {
        await this.beginRead(signal);
        return this.instances.map(row => ({ ...row }));
    }

    protected beginRead(signal?: AbortSignal): Promise<void> {
        this.counters.reads++;
        return this.applyFaults(signal);
    }

    private beginWrite(signal?: AbortSignal): Promise<void> {
        this.counters.writes++;
        return this.applyFaults(signal);
    }

    private async applyFaults(signal: AbortSignal | undefined): Promise<void> {
        if (this.faults.delayMs > 0) {
            await this.clock.sleep(this.faults.delayMs, signal);
        }
        if (this.faults.down) {
            throw new StoreUnavailableError("the store is down");
        }
        if (signal?.aborted) {
            throw new StoreUnavailableError("the call to the store was canceled");
        }
    }

    private checkVersion(key: string, expectedVersion: number): void {
        const current = this.objects.get(key)?.version ?? 0;
        if (current !== expectedVersion) {
            throw new StoreConflictError(
                `object ${key} has version ${current}, not ${expectedVersion}`,
                current,
            );
        }
    }

    private loseResponse(key: string): void {
        if (this.faults.loseWriteAnswers > 0) {
            this.faults.loseWriteAnswers--;
            throw new StoreOutcomeUnknownError(`the response to the write of ${key} was lost`);
        }
    }

    /** Adds a change to the history and wakes pending watches. */
    protected record(change: ObjectChange): void {
        this.history.push(change);
        if (this.history.length > (this.options.historyLength ?? 10_000)) {
            this.history.shift();
        }
        for (const wake of [...this.waiters]) {
            wake();
        }
    }

    private waitForChange(waitMs: number, signal: AbortSignal | undefined): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                timer.cancel();
                signal?.removeEventListener("abort", finish);
                this.waiters.delete(finish);
                resolve();
            };
            const timer = this.clock.setTimer(waitMs, finish);
            signal?.addEventListener("abort", finish, { once: true });
            this.waiters.add(finish);
        });
    }
}
