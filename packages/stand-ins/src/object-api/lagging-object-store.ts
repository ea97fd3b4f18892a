/** Object store whose reads and list of instances can lag behind. */
import type { Clock, InstanceRecord, ObjectChange, StoredObject } from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";
import { LaggingMap } from "./lagging-map.js";

export class LaggingObjectStore extends MemoryObjectStore {
    private readonly past: LaggingMap<StoredObject>;
    private readonly instanceRows: LaggingMap<InstanceRecord>;
    private staleReadsMs = 0;

    constructor(clock: Clock) {
        super(clock);
        this.past = new LaggingMap(clock);
        this.instanceRows = new LaggingMap(clock);
    }

    /** Sets how old the answers of `get` and `list` are. */
    setStaleReads(staleReadsMs: number): void {
        this.staleReadsMs = staleReadsMs;
        this.past.setLag(staleReadsMs);
    }

    setInstanceListLag(lagMs: number): void {
        this.instanceRows.setLag(lagMs);
    }

    /** Sets the row of an instance; undefined removes it. */
    setInstance(id: string, row: InstanceRecord | undefined): void {
        this.instanceRows.set(id, row);
    }

    findInstance(id: string): InstanceRecord | undefined {
        return this.instanceRows.get(id);
    }

    override async get(key: string, signal?: AbortSignal): Promise<StoredObject | undefined> {
        if (this.staleReadsMs === 0) {
            return super.get(key, signal);
        }
        await this.beginRead(signal);
        return this.past.get(key);
    }

    override async list(prefix: string, signal?: AbortSignal): Promise<StoredObject[]> {
        if (this.staleReadsMs === 0) {
            return super.list(prefix, signal);
        }
        await this.beginRead(signal);
        return this.past
            .entries()
            .filter(([key]) => key.startsWith(prefix))
            .map(([, object]) => object);
    }

    override async listInstances(signal?: AbortSignal): Promise<InstanceRecord[]> {
        await this.beginRead(signal);
        return this.instanceRows.entries().map(([, row]) => row);
    }

    protected override record(change: ObjectChange): void {
        const { key, version, value, deleted } = change;
        this.past.set(key, deleted ? undefined : { key, version, value });
        super.record(change);
    }
}
