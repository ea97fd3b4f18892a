/** Map whose reads can return an earlier state. */
import type { Clock } from "@waxwingdale/core";

interface Revision<Value> {
    at: number;
    value: Value | undefined;
}

/**
 * Retains revisions only as far back as the current lag, so without a lag there is one value for each key. After the
 * lag was increased, reads return the state at the time of the increase until enough revisions exist.
 */
export class LaggingMap<Value> {
    private lagMs = 0;
    private readonly revisions = new Map<string, Revision<Value>[]>();

    constructor(private readonly clock: Clock) {}

    /** Sets the age of the state that reads return, in milliseconds. */
    setLag(lagMs: number): void {
        this.lagMs = lagMs;
    }

    /** Sets the value of a key; `undefined` removes the key. */
    set(key: string, value: Value | undefined): void {
        const list = this.revisions.get(key) ?? [{ at: -Infinity, value: undefined }];
        list.push({ at: this.clock.now(), value });
        while (list.length > 1 && list[1]!.at <= this.clock.now() - this.lagMs) {
            list.shift();
        }
        if (list.length === 1 && value === undefined) {
            this.revisions.delete(key);
        } else {
            this.revisions.set(key, list);
        }
    }

    get(key: string): Value | undefined {
        const time = this.clock.now() - this.lagMs;
        return this.revisions.get(key)?.findLast((revision, index) => index === 0 || revision.at <= time)
            ?.value;
    }

    /** Returns the entries in key order. */
    entries(): [string, Value][] {
        return [...this.revisions.keys()].sort().flatMap(key => {
            const value = this.get(key);
            return value === undefined ? [] : [[key, value] as [string, Value]];
        });
    }
}
