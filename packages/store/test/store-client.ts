/** Client of a store in memory that several processes share: each has seen the eras of its own responses only. */
import {
    ObjectStore,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    createEraTracker,
    requireSameEra,
} from "@waxwingdale/core";
import type { EraChange, WatchResult } from "@waxwingdale/core";
import type { MemoryObjectStore } from "@waxwingdale/store";

export class StoreClient extends ObjectStore {
    isAway = false;
    private readonly tracker = createEraTracker();

    constructor(private readonly server: MemoryObjectStore) {
        super();
    }

    override era(): number | undefined {
        return this.tracker.current();
    }

    override onEraChange(listener: (change: EraChange) => void): () => void {
        return this.tracker.onChange(listener);
    }

    override get(key: string, signal?: AbortSignal) {
        return this.call(this.server.get(key, signal));
    }

    override list(prefix: string, signal?: AbortSignal) {
        return this.call(this.server.list(prefix, signal));
    }

    override async put(
        key: string,
        value: unknown,
        version: number,
        signal?: AbortSignal,
        era?: number,
    ): Promise<number> {
        requireSameEra(key, era, this.era());
        const next = await this.call(this.server.put(key, value, version, signal));
        if (era !== undefined && era !== this.era()) {
            throw new StoreOutcomeUnknownError("the era has changed");
        }
        return next;
    }

    override async delete(key: string, version: number, signal?: AbortSignal, era?: number): Promise<void> {
        requireSameEra(key, era, this.era());
        await this.call(this.server.delete(key, version, signal));
    }

    override watch(
        prefix: string,
        since: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<WatchResult> {
        return this.call(this.server.watch(prefix, since, waitMs, signal));
    }

    override async listInstances() {
        return [];
    }

    private async call<Result>(result: Promise<Result>): Promise<Result> {
        try {
            await result;
        } finally {
            if (!this.isAway) {
                this.tracker.observe(this.server.era());
            }
        }
        if (this.isAway) {
            throw new StoreUnavailableError("the store is away");
        }
        return result;
    }
}
