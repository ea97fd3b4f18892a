/** Reads pages of an entry over HTTP. */
import { getErrorCode, outcomeHeader } from "@waxwingdale/core";
import { Agent, request } from "undici";
import { CommandError } from "./command-error.js";
import type { EntryFetch } from "./command-context.js";
import { ExitCode } from "./exit-code.js";

/** Longest time for one answer; a state dump of a large fleet takes some seconds. */
const answerTimeoutMs = 10_000;
/** Largest answer that is read: 64 MiB. */
const maxAnswerBytes = 64 * 1024 * 1024;

/** Creates a reader whose connections are not kept, since a command asks each entry once or twice. */
export function createEntryFetch(timeoutMs = answerTimeoutMs): EntryFetch {
    return async (address, path, key, method = "GET") => {
        const agent = new Agent({ pipelining: 0, maxResponseSize: maxAnswerBytes });
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
                `the entry at ${address} does not answer (${code})`,
                "check the address and that the entry runs; `waxwingdale status --store` lists the entries",
            );
        } finally {
            await agent.destroy();
        }
    };
}
