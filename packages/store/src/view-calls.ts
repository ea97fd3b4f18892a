/** Calls that keep the view of a prefix current: beside one that has no answer in time, further ones go out. */
import type { Clock, ObjectList, ObjectStore, WatchResult } from "@waxwingdale/core";
import { completeUntil } from "./complete-until.js";
import { callHedged } from "./hedged-call.js";
import { createRefreshSchedule } from "./refresh-schedule.js";
import type { RefreshOptions } from "./refresh-schedule.js";

/** What the store has told: all objects, or the changes since a position. */
export type ViewAnswer = { list: ObjectList } | { changes: WatchResult };

export interface ViewCallsOptions {
    store: ObjectStore;
    prefix: string;
    clock: Clock;
    /** Withdraws all calls. */
    signal: AbortSignal;
    /** Without it, each call is waited for. */
    refresh: RefreshOptions | undefined;
    /** Called when a further call goes out, with the age of the view in milliseconds. */
    onRefresh: ((ageMs: number) => void) | undefined;
}

/** The methods throw what the last of their calls has thrown, when all have failed. */
export interface ViewCalls {
    /** Reads all objects. */
    list(): Promise<ObjectList>;
    /** Waits for changes after a position. A further call may bring a list instead, when the changes are not to be had. */
    changes(position: number, waitMs: number): Promise<ViewAnswer>;
    /** Notes that the view is complete up to a time of the clock, as a peer has told. */
    noteCurrent: (asOf: number) => void;
    /** Time of the clock up to which the view is complete. */
    currentAt(): number;
}

interface TimedAnswer<Answer> {
    answer: Answer;
    /** Time of the clock up to which the answer is complete. */
    asOf: number;
}

/** Makes a call that is sent at a time of the clock. */
type TimedCall<Answer> = (sentAt: number, withdrawn: AbortSignal) => Promise<TimedAnswer<Answer>>;

/** Creates the calls of a view that counts as current now. */
export function createViewCalls(options: ViewCallsOptions): ViewCalls {
    const { store, prefix, clock, signal } = options;
    const schedule = createRefreshSchedule(clock, options.refresh);

    /** Makes a call, and further ones while the view grows too old; `again` gets their number. */
    const ask = async <Answer>(
        first: TimedCall<Answer>,
        again: (refreshes: number) => TimedCall<Answer>,
    ): Promise<Answer> => {
        const start = (call: TimedCall<Answer>, withdrawn: AbortSignal) => {
            schedule.noteCall();
            return call(clock.now(), withdrawn);
        };
        const { answer, asOf } = await callHedged({
            clock,
            signal,
            first: withdrawn => start(first, withdrawn),
            again: withdrawn => {
                options.onRefresh?.(clock.now() - schedule.currentAt());
                return start(again(schedule.noteRefresh()), withdrawn);
            },
            dueAt: schedule.dueAt,
        });
        schedule.noteCurrent(asOf);
        return answer;
    };

    const askForList = async (sentAt: number, withdrawn: AbortSignal): Promise<TimedAnswer<ObjectList>> => ({
        answer: await store.listWithVersion(prefix, withdrawn),
        asOf: sentAt,
    });

    const listInstead: TimedCall<ViewAnswer> = async (sentAt, withdrawn) => {
        const { answer, asOf } = await askForList(sentAt, withdrawn);
        return { answer: { list: answer }, asOf };
    };

    const takeChanges = (changes: WatchResult, sentAt: number, waitMs: number): TimedAnswer<ViewAnswer> => ({
        answer: { changes },
        asOf: changes.asOf ?? completeUntil(changes, sentAt, waitMs, clock.now()),
    });

    return {
        list: () => ask(askForList, () => askForList),
        changes: (position, waitMs) => {
            const watch: TimedCall<ViewAnswer> = async (sentAt, withdrawn) =>
                takeChanges(await store.watch(prefix, position, waitMs, withdrawn), sentAt, waitMs);
            const poll: TimedCall<ViewAnswer> = async (sentAt, withdrawn) =>
                takeChanges(await store.poll(prefix, position, withdrawn), sentAt, 0);
            // A store whose watches get no answer may still answer lists, which are larger.
            return ask(watch, refreshes => (refreshes % 2 === 1 ? poll : listInstead));
        },
        noteCurrent: schedule.noteCurrent,
        currentAt: schedule.currentAt,
    };
}
