/** Waits for the link between two regions, in the parts that the shaper hands out. */
import type { LinkShaper } from "@waxwingdale/core";
import { maxLinkChunkBytes } from "@waxwingdale/limits";
import type { RequestContext } from "./request-context.js";

/**
 * Resolves when `bytes` of the request or of its answer may be sent to `region`. Larger parts would hold the link up for
 * the look-ups of other requests. Rejects when the caller of an idempotent request leaves.
 */
export async function waitForLink(
    links: LinkShaper,
    ctx: RequestContext,
    region: string,
    bytes: number,
): Promise<void> {
    // A request with an effect runs on without its caller.
    const signal = ctx.route.idempotent ? ctx.disconnectSignal.toSignal() : undefined;
    for (let left = bytes; left > 0; left -= maxLinkChunkBytes) {
        await links.take(region, ctx.route.class, Math.min(left, maxLinkChunkBytes), signal);
    }
}
