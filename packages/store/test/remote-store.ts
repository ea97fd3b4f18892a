/** A store behind a network: writes take effect late, responses get lost, and callers can be paused during a call. */
import { MemoryObjectStore } from "@waxwingdale/store";
import { StoreOutcomeUnknownError, StoreUnavailableError } from "@waxwingdale/core";
import type { Clock, ObjectChange, ObjectStore, StoredObject } from "@waxwingdale/core";

/** Records every change for the checks at the end of a run. */
export class RecordingStore extends MemoryObjectStore {
    readonly changes: ObjectChange[] = [];

    protected override record(change: ObjectChange): void {
        this.changes.push(change);
        super.record(change);
    }
}

export interface Network {
    down: boolean;
    /** One-way delay in milliseconds. */
    delayMs: number;
    loseResponses: number;
}

const timeoutMs = 700;

/** Supports only `get` and `put`. */
export class RemoteStore extends MemoryObjectStore {
    constructor(
        private readonly shared: ObjectStore,
        private readonly storeClock: Clock,
        private readonly callerClock: Clock,
        private readonly network: Network,
    ) {
        super(callerClock);
    }

    override get(key: string): Promise<StoredObject | undefined> {
        return this.call(() => this.shared.get(key), new StoreUnavailableError("no response"));
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<number> {
        return this.call(
            () => this.shared.put(key, value, expectedVersion),
            new StoreOutcomeUnknownError("no response"),
        );
    }

    /** Runs the call on the store's clock and waits for the response on the caller's clock. */
    private async call<Result>(run: () => Promise<Result>, lost: Error): Promise<Result> {
        const { delayMs, down } = this.network;
        if (down) {
            await this.callerClock.sleep(10);
            throw new StoreUnavailableError("refused");
        }
        let response: (() => Result) | undefined;
        const execute = async () => {
            if (delayMs > 0) {
                await this.storeClock.sleep(delayMs);
            }
            response = await run().then(
                result => () => result,
                (err: Error) => () => {
                    throw err;
                },
            );
        };
        const losesResponse = this.network.loseResponses > 0;
        this.network.loseResponses -= losesResponse ? 1 : 0;
        void execute();
        await this.callerClock.sleep(Math.min(2 * delayMs, timeoutMs));
        if (response === undefined || losesResponse || 2 * delayMs > timeoutMs) {
            throw lost;
        }
        return response();
    }
}
