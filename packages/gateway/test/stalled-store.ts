/** In-memory store whose calls can be stalled, as if the connections of one instance to it had stalled. */
import { StoreUnavailableError } from "@waxwingdale/core";
import type { ObjectList, WatchResult } from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";

/** Timeout of a store call in milliseconds, in addition to the wait of a watch. */
const callTimeoutMs = 1500;

export class StalledStore extends MemoryObjectStore {
    /** Whether pending watches get no response, while new connections work. */
    areWatchesStalled = false;
    /** Number of further calls per prefix (lists and watches without a wait) that get no response either. */
    stalledCalls = 0;
    private readonly stalledByPrefix = new Map<string, number>();

    override async listWithVersion(prefix: string, signal?: AbortSignal): Promise<ObjectList> {
        await this.stallCall(prefix);
        return super.listWithVersion(prefix, signal);
    }

    override async watch(
        prefix: string,
        sinceVersion: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<WatchResult> {
        if (waitMs === 0) {
            await this.stallCall(prefix);
        }
        const result = await super.watch(prefix, sinceVersion, waitMs, signal);
        if (waitMs > 0 && this.areWatchesStalled) {
            await this.timeOut(waitMs + callTimeoutMs);
        }
        return result;
    }

    private async stallCall(prefix: string): Promise<void> {
        const stalledSoFar = this.stalledByPrefix.get(prefix) ?? 0;
        if (this.areWatchesStalled && stalledSoFar < this.stalledCalls) {
            this.stalledByPrefix.set(prefix, stalledSoFar + 1);
            await this.timeOut(callTimeoutMs);
        }
    }

    private async timeOut(timeMs: number): Promise<never> {
        await this.clock.sleep(timeMs);
        throw new StoreUnavailableError("no response");
    }
}
