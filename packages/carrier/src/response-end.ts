/**
 * Holds the last piece of a body with a length until it is certain that no other bytes follow. A server may break off a
 * response and go on with bytes that fill up the body.
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Pool } from "undici";
import { beginsStatusLine, containsStatusLine, createEndHold } from "@waxwingdale/core";
import type { Clock } from "@waxwingdale/core";
import type { ResponseHeaders } from "./dispatch-request.js";
import { getHeader } from "./headers.js";
import { getReceivedBefore } from "./watched-socket.js";

export interface ResponseEnd {
    onHead(headers: ResponseHeaders): void;
    /** Returns the bytes that can be handed over now. */
    onPiece(piece: Buffer): Buffer | undefined;
    /** Must be called when the response seems to be complete. Resolves with false if other bytes follow it. */
    isWhole(): Promise<boolean>;
    /** The piece that is held; undefined if there is none. */
    lastPiece(): Buffer | undefined;
    /** Must be called when the attempt has ended. */
    stop(): void;
}

/** What the library says when bytes arrive on a connection on which it expects none. */
const unexpectedBytesMessage = "bad response";
/** Beginning of the codes of its errors for bytes that are not HTTP. */
const parserErrorPrefix = "HPE_";

export function createResponseEnd(pool: Pool, clock: Clock): ResponseEnd {
    const endHold = createEndHold(clock);
    let hasLength = false;
    let held: Buffer | undefined;
    let isDamaged = false;

    const onDisconnect = (_origin: URL, _targets: readonly unknown[], err: Error) => {
        const received = getReceivedBefore(err);
        isDamaged ||= isUnexpectedBytes(err) && !(received && isBehindWhole(received, held!));
    };

    return {
        onHead: headers => {
            hasLength = getHeader(headers, "content-length") !== undefined;
        },
        onPiece: piece => {
            endHold.recordPiece();
            if (!hasLength) {
                return piece;
            }
            const certain = held;
            held = piece;
            return certain;
        },
        isWhole: async () => {
            if (held === undefined) {
                return true;
            }
            pool.on("disconnect", onDisconnect);
            await clock.sleep(endHold.holdMs());
            // What has arrived is read in the next turn, and the connection is closed at its end.
            await nextTurn();
            await nextTurn();
            return !isDamaged;
        },
        lastPiece: () => held,
        stop: () => void pool.off("disconnect", onDisconnect),
    };
}

const headEnd = "\r\n\r\n";

/** Whether another response follows the last piece of a whole body, or comes later. `received` has what follows. */
function isBehindWhole(received: Buffer, last: Buffer): boolean {
    const begin = beginsStatusLine(received) ? received.indexOf(headEnd) + headEnd.length : 0;
    const isInside = received.subarray(begin, begin + last.length).equals(last);
    const following = isInside ? received.subarray(begin + last.length) : received;
    return beginsStatusLine(following) && !containsStatusLine(last.toString("latin1"));
}

function isUnexpectedBytes(err: Error): boolean {
    const { code = "" } = err as NodeJS.ErrnoException;
    return err.message === unexpectedBytesMessage || code.startsWith(parserErrorPrefix);
}
