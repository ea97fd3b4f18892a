/** Calls that keep the view of a prefix current. They are hedged once the view is stale. */
import { StoreUnavailableError } from "@waxwingdale/core";
import type { Clock, ObjectList, ObjectStore, WatchResult } from "@waxwingdale/core";
import { computeAsOf } from "./compute-as-of.js";
import { callHedged } from "./hedged-call.js";
import { createRefreshSchedule } from "./refresh-schedule.js";
import type { RefreshOptions } from "./refresh-schedule.js";

/** Result of a call: all objects, or the changes since a position. */
export type ViewResult = { list: ObjectList } | { changes: WatchResult };

export interface ViewCallsOptions {
    store: ObjectStore;
    prefix: string;
    clock: Clock;
    /** Returns the signal that cancels the calls which start now. */
    getSignal: () => AbortSignal;
    /** Without it, calls are not hedged. */
    refresh: RefreshOptions | undefined;
    /** Called when a hedged call is sent, with the age of the view in milliseconds. */
    onRefresh: ((ageMs: number) => void) | undefined;
}

/** If all calls of a method fail, it throws the error of the last one to fail. */
export interface ViewCalls {
    /** Reads all objects. */
    list(): Promise<ObjectList>;
    /**
     * Waits for changes after a position of the given era, but not if the view is outdated. A hedged call may return a list
     * instead. A result of another era counts as a failed call, since positions of different eras must not be compared.
     */
    changes(position: number, waitMs: number, era: number | undefined): Promise<ViewResult>;
    /** Records that the view is complete up to the clock time `asOf`, as reported by a peer. */
    advanceAsOf: (asOf: number) => void;
    /** Returns the clock time up to which the view is complete. */
    getAsOf(): number;
}

interface TimedAnswer<Answer> {
    answer: Answer;
    /** Clock time up to which the answer is complete. */
    asOf: number;
}

/** Makes a call that is sent at the clock time `sentAt`. */
type TimedCall<Answer> = (sentAt: number, callSignal: AbortSignal) => Promise<TimedAnswer<Answer>>;

/** Creates the calls of a view that is current at creation. */
export function createViewCalls(options: ViewCallsOptions): ViewCalls {
    const { store, prefix, clock } = options;
    const schedule = createRefreshSchedule(clock, options.refresh);

    /** Makes a call, and hedges it while the view is stale. `hedge` receives the number of hedged calls. */
    const callWithHedges = async <Answer>(
        first: TimedCall<Answer>,
        hedge: (refreshes: number) => TimedCall<Answer>,
    ): Promise<Answer> => {
        const send = (call: TimedCall<Answer>, callSignal: AbortSignal) => {
            schedule.recordCall();
            return call(clock.now(), callSignal);
        };
        const { answer, asOf } = await callHedged({
            clock,
            signal: options.getSignal(),
            first: callSignal => send(first, callSignal),
            hedge: callSignal => {
                options.onRefresh?.(clock.now() - schedule.getAsOf());
                return send(hedge(schedule.recordRefresh()), callSignal);
            },
            dueAt: schedule.dueAt,
            onDueChanged: options.refresh?.onRequired,
        });
        schedule.advanceAsOf(asOf);
        return answer;
    };

    const readList = async (sentAt: number, callSignal: AbortSignal): Promise<TimedAnswer<ObjectList>> => ({
        answer: await store.listWithVersion(prefix, callSignal),
        asOf: sentAt,
    });

    const listInsteadOfChanges =
        (era: number | undefined): TimedCall<ViewResult> =>
        async (sentAt, callSignal) => {
            const { answer, asOf } = await readList(sentAt, callSignal);
            requireEra(answer.era, era);
            return { answer: { list: answer }, asOf };
        };

    const toTimedAnswer = (
        changes: WatchResult,
        sentAt: number,
        waitMs: number,
        era: number | undefined,
    ): TimedAnswer<ViewResult> => {
        requireEra(changes.era, era);
        return {
            answer: { changes },
            asOf: changes.asOf ?? computeAsOf(changes, sentAt, waitMs, clock.now()),
        };
    };

    return {
        list: () => callWithHedges(readList, () => readList),
        changes: (position, waitMs, era) => {
            const watch: TimedCall<ViewResult> = async (sentAt, callSignal) => {
                const result = await store.watch(prefix, position, waitMs, callSignal);
                return toTimedAnswer(result, sentAt, waitMs, era);
            };
            const poll: TimedCall<ViewResult> = async (sentAt, callSignal) =>
                toTimedAnswer(await store.poll(prefix, position, callSignal), sentAt, 0, era);
            const list = listInsteadOfChanges(era);
            // Lists may succeed while watches and polls time out, but they are larger, so only every other call is one.
            const first = schedule.isOutdated() ? poll : watch;
            return callWithHedges(first, refreshes => (refreshes % 2 === 1 ? poll : list));
        },
        advanceAsOf: schedule.advanceAsOf,
        getAsOf: schedule.getAsOf,
    };
}

/** @throws StoreUnavailableError */
function requireEra(era: number | undefined, expected: number | undefined): void {
    if (era !== expected) {
        throw new StoreUnavailableError("the response is of another era of the store");
    }
}
