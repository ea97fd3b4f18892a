/** Time source. Code that depends on time takes a clock as a parameter so that tests can control it. */
import { performance } from "node:perf_hooks";

/** A pending timer that can be canceled. Canceling a timer that has fired does nothing. */
export interface Timer {
    cancel(): void;
}

export interface Clock {
    /** Monotonic time in milliseconds; only differences are meaningful. */
    now(): number;
    /** Wall-clock time in milliseconds since the epoch. */
    wallTime(): number;
    /** Calls `callback` once after `delayMs`. */
    setTimer(delayMs: number, callback: () => void): Timer;
    /** Resolves after `delayMs`, or as soon as `signal` aborts. */
    sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** Creates a clock that uses the system time and timers. */
export function createSystemClock(): Clock {
    const setTimer = (delayMs: number, callback: () => void): Timer => {
        const handle = setTimeout(callback, delayMs);
        return { cancel: () => clearTimeout(handle) };
    };
    return {
        now: () => performance.now(),
        wallTime: () => Date.now(),
        setTimer,
        sleep: (delayMs, signal) => sleepUntilAborted(setTimer, delayMs, signal),
    };
}

/** A clock that only advances explicitly. Timers fire in order of their due time, then of creation. */
export interface ManualClock extends Clock {
    /** Moves time forward and fires the timers that become due, flushing promise callbacks after each one. */
    advance(ms: number): Promise<void>;
    /** Moves time forward without firing timers, as if the process had been paused. */
    jump(ms: number): void;
}

interface ManualTimer {
    at: number;
    order: number;
    callback: () => void;
}

/** Creates a clock for tests and the policy benchmark. */
export function createManualClock(startMs = 0): ManualClock {
    let time = startMs;
    let order = 0;
    const timers: ManualTimer[] = [];

    const isBefore = (a: ManualTimer, b: ManualTimer) => a.at < b.at || (a.at === b.at && a.order < b.order);

    const push = (timer: ManualTimer) => {
        timers.push(timer);
        let child = timers.length - 1;
        while (child > 0) {
            const parent = (child - 1) >> 1;
            if (!isBefore(timers[child]!, timers[parent]!)) {
                break;
            }
            [timers[child], timers[parent]] = [timers[parent]!, timers[child]!];
            child = parent;
        }
    };

    const pop = () => {
        const first = timers[0]!;
        const last = timers.pop()!;
        if (timers.length > 0) {
            timers[0] = last;
            siftDown();
        }
        return first;
    };

    const siftDown = () => {
        let parent = 0;
        for (;;) {
            const left = 2 * parent + 1;
            const right = left + 1;
            let least = parent;
            if (left < timers.length && isBefore(timers[left]!, timers[least]!)) {
                least = left;
            }
            if (right < timers.length && isBefore(timers[right]!, timers[least]!)) {
                least = right;
            }
            if (least === parent) {
                return;
            }
            [timers[least], timers[parent]] = [timers[parent]!, timers[least]!];
            parent = least;
        }
    };

    const setTimer = (delayMs: number, callback: () => void): Timer => {
        const timer = { at: time + Math.max(0, delayMs), order: order++, callback };
        push(timer);
        return {
            cancel: () => {
                timer.callback = () => undefined;
            },
        };
    };

    return {
        now: () => time,
        wallTime: () => time,
        setTimer,
        sleep: (delayMs, signal) => sleepUntilAborted(setTimer, delayMs, signal),
        advance: async ms => {
            const end = time + ms;
            await flushPromises();
            while (timers.length > 0 && timers[0]!.at <= end) {
                const timer = pop();
                time = Math.max(time, timer.at);
                timer.callback();
                await flushPromises();
            }
            time = Math.max(time, end);
        },
        jump: ms => {
            time += ms;
        },
    };
}

function flushPromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

function sleepUntilAborted(
    setTimer: Clock["setTimer"],
    delayMs: number,
    signal: AbortSignal | undefined,
): Promise<void> {
    if (signal?.aborted) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const finish = () => {
            signal?.removeEventListener("abort", finish);
            timer.cancel();
            resolve();
        };
        const timer = setTimer(delayMs, finish);
        signal?.addEventListener("abort", finish, { once: true });
    });
}
