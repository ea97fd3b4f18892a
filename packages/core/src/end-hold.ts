/**
 * Tells for how long the end of a body with a length is held before the body counts as whole. A server that has broken off a
 * response, and goes on with other bytes, may fill up the body with one piece and send the next one a moment later.
 */
import type { Clock } from "./clock.js";

export interface EndHold {
    /** Must be called for each piece of the response when it is received. */
    recordPiece(): void;
    /** Returns the time in milliseconds; 0 if what has arrived already is all that is waited for. */
    holdMs(): number;
}

/** Multiple of the longest pause between two pieces. */
const holdPauses = 2;
/** Shorter pauses end within the next turns of the event loop. */
const minPauseMs = 0.5;
export const maxEndHoldMs = 20;

export function createEndHold(clock: Clock): EndHold {
    let receivedAt: number | undefined;
    let longestPauseMs = 0;
    return {
        recordPiece: () => {
            const now = clock.now();
            longestPauseMs = Math.max(longestPauseMs, now - (receivedAt ?? now));
            receivedAt = now;
        },
        holdMs: () => (longestPauseMs < minPauseMs ? 0 : Math.min(maxEndHoldMs, holdPauses * longestPauseMs)),
    };
}
