/**
 * Bounds how long a connection may have waited to be accepted. Node accepts one connection in each turn of the event
 * loop, so a queue that built up while the process was late is worked off when it looks on time again.
 */
import type { Socket } from "node:net";
import type { Clock, EventLoopMonitor } from "@waxwingdale/core";

export interface AcceptDelay {
    /** Records a connection that has just been accepted. */
    recordConnection(socket: Socket): void;
    /**
     * Returns the maximum time in milliseconds for which a request may have been pending that arrived together with its
     * connection; 0 for later requests, or if the connection was accepted in time. An upper bound that most requests do
     * not reach while connections arrive in each turn.
     */
    pendingMs(socket: Socket): number;
}

/** Delay in milliseconds from which a connection counts as accepted late. */
const lateMs = 250;

export function createAcceptDelay(clock: Clock, eventLoop: EventLoopMonitor): AcceptDelay {
    const acceptableSince = new WeakMap<Socket, number>();
    /** Earliest time from which the connections of the current queue may have waited; undefined if it is empty. */
    let queuedSince: number | undefined;
    let accepted = 0;

    /** Ends the queue if no connection was accepted in the turn after one, in which its pending bytes are read. */
    const finishTurn = (socket: Socket, acceptedBefore: number) => {
        acceptableSince.delete(socket);
        if (accepted === acceptedBefore) {
            queuedSince = undefined;
        }
    };

    return {
        recordConnection: socket => {
            accepted += 1;
            queuedSince ??= clock.now() - eventLoop.pendingMs();
            acceptableSince.set(socket, queuedSince);
            const acceptedBefore = accepted;
            setImmediate(() => setImmediate(() => finishTurn(socket, acceptedBefore)));
        },
        pendingMs: socket => {
            const since = acceptableSince.get(socket);
            const pendingMs = since === undefined ? 0 : clock.now() - since;
            return pendingMs > lateMs ? pendingMs : 0;
        },
    };
}
