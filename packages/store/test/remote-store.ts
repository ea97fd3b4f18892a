/** A store across a network: writes land later, answers get lost, and the caller can be paused in the middle of a call. */
import { MemoryObjectStore } from "@waxwingdale/store";
import { StoreOutcomeUnknownError, StoreUnavailableError } from "@waxwingdale/core";
import type { Clock, ObjectChange, ObjectStore, StoredObject } from "@waxwingdale/core";

/** Keeps every change for the checks at the end of a run. */
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
    loseAnswers: number;
}

const timeoutMs = 700;

/** Offers `get` and `put`. */
export class RemoteStore extends MemoryObjectStore {
    constructor(
        private readonly shared: ObjectStore,
        private readonly worldClock: Clock,
        private readonly callerClock: Clock,
        private readonly network: Network,
    ) {
        super(callerClock);
    }

    override get(key: string): Promise<StoredObject | undefined> {
        return this.call(() => this.shared.get(key), new StoreUnavailableError("no answer"));
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<number> {
        return this.call(
            () => this.shared.put(key, value, expectedVersion),
            new StoreOutcomeUnknownError("no answer"),
        );
    }

    /** The effect happens on the world's clock, the answer is seen on the caller's. */
    private async call<Result>(run: () => Promise<Result>, lost: Error): Promise<Result> {
        const { delayMs, down } = this.network;
        if (down) {
            await this.callerClock.sleep(10);
            throw new StoreUnavailableError("refused");
        }
        let answer: (() => Result) | undefined;
        const land = async () => {
            if (delayMs > 0) {
                await this.worldClock.sleep(delayMs);
            }
            answer = await run().then(
                result => () => result,
                (err: Error) => () => {
                    throw err;
                },
            );
        };
        const loses = this.network.loseAnswers > 0;
        this.network.loseAnswers -= loses ? 1 : 0;
        void land();
        await this.callerClock.sleep(Math.min(2 * delayMs, timeoutMs));
        if (answer === undefined || loses || 2 * delayMs > timeoutMs) {
            throw lost;
        }
        return answer();
    }
}
