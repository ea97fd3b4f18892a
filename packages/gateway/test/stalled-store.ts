/** A store as one instance reaches it, some of whose calls get no answer. */
import { StoreUnavailableError } from "@waxwingdale/core";
import type { ObjectList, WatchResult } from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";

/** Time in milliseconds that a call to the store may take beyond the wait of a watch. */
const callTimeoutMs = 1500;

export class StalledStore extends MemoryObjectStore {
    /** Whether watches that wait get no answer, which new connections do. */
    areWatchesStalled = false;
    /** Lists and watches that do not wait, of those to come for each prefix, which get no answer either. */
    stalledCalls = 0;
    private readonly silenced = new Map<string, number>();

    override async listWithVersion(prefix: string, signal?: AbortSignal): Promise<ObjectList> {
        await this.answerCall(prefix);
        return super.listWithVersion(prefix, signal);
    }

    override async watch(
        prefix: string,
        sinceVersion: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<WatchResult> {
        if (waitMs === 0) {
            await this.answerCall(prefix);
        }
        const result = await super.watch(prefix, sinceVersion, waitMs, signal);
        if (waitMs > 0 && this.areWatchesStalled) {
            await this.stayAway(waitMs + callTimeoutMs);
        }
        return result;
    }

    private async answerCall(prefix: string): Promise<void> {
        const silenced = this.silenced.get(prefix) ?? 0;
        if (this.areWatchesStalled && silenced < this.stalledCalls) {
            this.silenced.set(prefix, silenced + 1);
            await this.stayAway(callTimeoutMs);
        }
    }

    private async stayAway(timeMs: number): Promise<never> {
        await this.clock.sleep(timeMs);
        throw new StoreUnavailableError("no answer");
    }
}
