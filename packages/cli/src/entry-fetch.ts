/** Sends HTTP requests to entries. */
import { getErrorCode, outcomeHeader } from "@waxwingdale/core";
import { Agent, request } from "undici";
import { CommandError } from "./command-error.js";
import type { EntryFetch } from "./command-context.js";
import { ExitCode } from "./exit-code.js";

/** Timeout of a request; a state dump of a large fleet takes several seconds. */
const responseTimeoutMs = 10_000;
/** Maximum size of a response: 64 MiB. */
const maxResponseBytes = 64 * 1024 * 1024;

/** Creates a client without keep-alive connections, since a command sends an entry one or two requests. */
export function createEntryFetch(timeoutMs = responseTimeoutMs): EntryFetch {
    return async (address, path, key, method = "GET") => {
        const agent = new Agent({ pipelining: 0, maxResponseSize: maxResponseBytes });
        try {
            const res = await request(`http://${address}${path}`, {
                method,
                headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
                signal: AbortSignal.timeout(timeoutMs),
                dispatcher: agent,
            });
            const outcome = res.headers[outcomeHeader];
            return {
                status: res.statusCode,
                text: await res.body.text(),
                outcome: typeof outcome === "string" ? outcome : undefined,
            };
        } catch (err) {
            const code = getErrorCode(err) ?? (err as Error).name;
            throw new CommandError(
                ExitCode.Unreachable,
                `the entry at ${address} does not respond (${code})`,
                "check the address and that the entry is running; `waxwingdale status --store` lists the entries",
            );
        } finally {
            await agent.destroy();
        }
    };
}
