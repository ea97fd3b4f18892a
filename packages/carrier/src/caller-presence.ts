/** Checks before a request is sent that its caller is still there. */
import type { EventLoopMonitor } from "@waxwingdale/core";
import type { RequestContext } from "./request-context.js";

/**
 * Resolves to whether an attempt is still wanted. In a late process the caller may have disconnected before the request
 * was read, so pending events are handled first. A non-idempotent request is sent all the same: a retry with its key
 * gets its outcome.
 */
export async function isStillWanted(
    { route, req, disconnectSignal }: RequestContext,
    eventLoop: EventLoopMonitor,
): Promise<boolean> {
    if (!route.idempotent) {
        return true;
    }
    if (eventLoop.pendingMs() > 0) {
        await new Promise<void>(resolve => eventLoop.afterPending(resolve));
    }
    return !disconnectSignal.aborted && !req.socket.readableEnded;
}
