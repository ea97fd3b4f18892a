/** In-memory object store for tests and for the stand-in of the object API. */
import {
    ObjectStore,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
    createEraTracker,
    maxObjectBytes,
    requireSameEra,
} from "@waxwingdale/core";
import type {
    Clock,
    EraChange,
    InstanceRecord,
    ObjectChange,
    StoredObject,
    WatchResult,
} from "@waxwingdale/core";

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
    /** Era of the store in its responses; without it, they have none until the store comes back from a copy. */
    era?: number;
}

/** Copy of a store, from which it can come back. */
export interface StoreCopy {
    version: number;
    objects: ReadonlyMap<string, { version: number; text: string }>;
    history: readonly ObjectChange[];
}

/** Stores each object as JSON text, so that a caller cannot change a stored value in place. */
export class MemoryObjectStore extends ObjectStore {
    readonly faults: StoreFaults = { down: false, delayMs: 0, loseWriteAnswers: 0 };
    readonly counters = { reads: 0, writes: 0 };
    /** Instances that `listInstances` returns, set by tests and the stand-in. */
    instances: InstanceRecord[] = [];
    private version = 0;
    private objects = new Map<string, { version: number; text: string }>();
    private history: ObjectChange[] = [];
    /** Era of the stored objects; the tracker has that of the latest response. */
    private storedEra: number | undefined;
    private readonly eraTracker = createEraTracker();
    private readonly waiters = new Set<() => void>();

    constructor(
        protected readonly clock: Clock,
        private readonly options: MemoryObjectStoreOptions = {},
    ) {
        super();
        this.storedEra = options.era;
    }

    override era(): number | undefined {
        return this.eraTracker.current();
    }

    override onEraChange(listener: (change: EraChange) => void): () => void {
        return this.eraTracker.onChange(listener);
    }

    copy(): StoreCopy {
        return { version: this.version, objects: new Map(this.objects), history: [...this.history] };
    }

    /** Comes back from an older copy. Pending watches go on, and versions are assigned again. */
    restore({ version, objects, history }: StoreCopy): void {
        this.version = version;
        this.objects = new Map(objects);
        this.history = [...history];
        this.storedEra = (this.storedEra ?? 0) + 1;
    }

    async get(key: string, signal?: AbortSignal): Promise<StoredObject | undefined> {
        await this.beginRead(signal);
        this.eraTracker.observe(this.storedEra);
        const found = this.objects.get(key);
        return found && { key, version: found.version, value: JSON.parse(found.text) as unknown };
    }

    async list(prefix: string, signal?: AbortSignal): Promise<StoredObject[]> {
        await this.beginRead(signal);
        this.eraTracker.observe(this.storedEra);
        return [...this.objects]
            .filter(([key]) => key.startsWith(prefix))
            .sort(([a], [b]) => (a < b ? -1 : 1))
            .map(([key, { version, text }]) => ({ key, version, value: JSON.parse(text) as unknown }));
    }

    async put(
        key: string,
        value: unknown,
        expectedVersion: number,
        signal?: AbortSignal,
        era?: number,
    ): Promise<number> {
        requireSameEra(key, era, this.era());
        await this.beginWrite(signal);
        const text = JSON.stringify(value);
        if (Buffer.byteLength(text) > maxObjectBytes) {
            throw new StoreRejectedError(`object ${key} is larger than ${maxObjectBytes} bytes`);
        }
        this.checkVersion(key, expectedVersion);
        const version = ++this.version;
        this.objects.set(key, { version, text });
        this.record({ key, version, value: JSON.parse(text) as unknown, deleted: false });
        this.finishWrite(key, era);
        return version;
    }

    async delete(key: string, expectedVersion: number, signal?: AbortSignal, era?: number): Promise<void> {
        requireSameEra(key, era, this.era());
        await this.beginWrite(signal);
        this.checkVersion(key, expectedVersion);
        this.objects.delete(key);
        this.record({ key, version: ++this.version, value: undefined, deleted: true });
        this.finishWrite(key, era);
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
            this.eraTracker.observe(this.storedEra);
            return { changes: [], version: this.version, expired: true, era: this.storedEra };
        }
        const end = this.clock.now() + waitMs;
        for (;;) {
            const changes = this.history.filter(
                change => change.version > sinceVersion && change.key.startsWith(prefix),
            );
            const remaining = end - this.clock.now();
            if (changes.length > 0 || remaining <= 0 || signal?.aborted) {
                this.eraTracker.observe(this.storedEra);
                return { changes, version: this.version, expired: false, era: this.storedEra };
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
            this.eraTracker.observe(this.storedEra);
        }
        if (current !== expectedVersion) {
            throw new StoreConflictError(
                `object ${key} has version ${current}, not ${expectedVersion}`,
                current,
            );
        }
    }

    private finishWrite(key: string, era: number | undefined): void {
        if (this.faults.loseWriteAnswers > 0) {
            this.faults.loseWriteAnswers--;
            throw new StoreOutcomeUnknownError(`the response to the write of ${key} was lost`);
        }
        this.eraTracker.observe(this.storedEra);
        if (era !== undefined && era !== this.storedEra) {
            throw new StoreOutcomeUnknownError(
                `the store came back from an older copy during the write of ${key}`,
            );
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
