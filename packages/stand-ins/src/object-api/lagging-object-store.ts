/** Object store whose reads and instance list can return an earlier state. */
import type { Clock, InstanceRecord, ObjectChange, StoredObject } from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";
import { LaggingMap } from "./lagging-map.js";

export class LaggingObjectStore extends MemoryObjectStore {
    private readonly laggingObjects: LaggingMap<StoredObject>;
    private readonly laggingInstances: LaggingMap<InstanceRecord>;
    private staleReadsMs = 0;

    constructor(clock: Clock) {
        super(clock);
        this.laggingObjects = new LaggingMap(clock);
        this.laggingInstances = new LaggingMap(clock);
    }

    /** Sets the age of the state that `get` and `list` return, in milliseconds. */
    setStaleReads(staleReadsMs: number): void {
        this.staleReadsMs = staleReadsMs;
        this.laggingObjects.setLag(staleReadsMs);
    }

    /** Sets the age of the instance list, in milliseconds. */
    setInstanceListLag(lagMs: number): void {
        this.laggingInstances.setLag(lagMs);
    }

    /** Sets the record of an instance; `undefined` removes it. */
    setInstance(id: string, instance: InstanceRecord | undefined): void {
        this.laggingInstances.set(id, instance);
    }

    findInstance(id: string): InstanceRecord | undefined {
        return this.laggingInstances.get(id);
    }

    override async get(key: string, signal?: AbortSignal): Promise<StoredObject | undefined> {
        if (this.staleReadsMs === 0) {
            return super.get(key, signal);
        }
        await this.beginRead(signal);
        return this.laggingObjects.get(key);
    }

    override async list(prefix: string, signal?: AbortSignal): Promise<StoredObject[]> {
        if (this.staleReadsMs === 0) {
            return super.list(prefix, signal);
        }
        await this.beginRead(signal);
        return this.laggingObjects
            .entries()
            .filter(([key]) => key.startsWith(prefix))
            .map(([, object]) => object);
    }

    override async listInstances(signal?: AbortSignal): Promise<InstanceRecord[]> {
        await this.beginRead(signal);
        return this.laggingInstances.entries().map(([, instance]) => instance);
    }

    protected override record(change: ObjectChange): void {
        const { key, version, value, deleted } = change;
        this.laggingObjects.set(key, deleted ? undefined : { key, version, value });
        super.record(change);
    }
}
