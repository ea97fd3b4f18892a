/** Rate limit of the object API: calls started in each second, and watches that wait over from earlier seconds. */
import type { Clock } from "@waxwingdale/core";

export interface CallCounters {
    taken: number;
    refused: number;
    highestInOneSecond: number;
    /** Watches that wait now. */
    waiting: number;
}

export interface CallBudget {
    /** Counts a call and returns whether the budget of this second allows it. */
    take(): boolean;
    /** Counts a watch as one call in each further second until the returned function is called. */
    holdWatch(): () => void;
    counters(): CallCounters;
}

/** Creates a budget of `limit` calls each second. */
export function createCallBudget(clock: Clock, limit: number): CallBudget {
    let second = 0;
    let used = 0;
    let taken = 0;
    let refused = 0;
    let highestInOneSecond = 0;
    let waiting = 0;

    const startSecond = () => {
        const current = Math.floor(clock.now() / 1000);
        if (current !== second) {
            second = current;
            used = waiting;
        }
    };

    return {
        take: () => {
            startSecond();
            if (used >= limit) {
                refused++;
                return false;
            }
            used++;
            taken++;
            highestInOneSecond = Math.max(highestInOneSecond, used);
            return true;
        },
        holdWatch: () => {
            let held = true;
            waiting++;
            return () => {
                startSecond();
                waiting -= held ? 1 : 0;
                held = false;
            };
        },
        counters: () => ({ taken, refused, highestInOneSecond, waiting }),
    };
}
