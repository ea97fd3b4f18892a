/** Paces request and response bodies on the links between regions. */
import type { LinkShaper } from "@waxwingdale/core";
import { maxLinkChunkBytes } from "@waxwingdale/limits";
import type { RequestContext } from "./request-context.js";

/**
 * Resolves when `bytes` of a request or response body may be sent to `region`. Acquired in chunks, since larger ones
 * would block the link for the lookups of other callers. Rejects if the caller of an idempotent request disconnects.
 */
export async function waitForLink(
    links: LinkShaper,
    ctx: RequestContext,
    region: string,
    bytes: number,
): Promise<void> {
    // A non-idempotent request continues if its caller disconnects.
    const signal = ctx.route.idempotent ? ctx.disconnectSignal.toSignal() : undefined;
    for (let remaining = bytes; remaining > 0; remaining -= maxLinkChunkBytes) {
        await links.take(region, ctx.route.class, Math.min(remaining, maxLinkChunkBytes), signal);
    }
}
