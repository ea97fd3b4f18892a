/** Reads JSON pages of entries. */
import { CommandError } from "./command-error.js";
import type { CommandContext, EntryResponse } from "./command-context.js";
import type { EntryTarget } from "./entry-directory.js";
import { ExitCode } from "./exit-code.js";

const unauthorized = 401;
const forbidden = 403;

/**
 * Asks the operator listener of an entry.
 * @throws CommandError when the entry does not answer or refuses the fleet key
 */
export async function fetchEndpoint(
    ctx: CommandContext,
    target: EntryTarget,
    path: string,
    method: "GET" | "PUT" = "GET",
): Promise<EntryResponse> {
    const answer = await ctx.fetchFromEntry(target.address, path, await ctx.readFleetKey(), method);
    if (answer.status === unauthorized || answer.status === forbidden) {
        throw new CommandError(
            ExitCode.Refused,
            `${target.name} refuses the fleet key`,
            "give the fleet's key with --key-file or WAXWINGDALE_FLEET_KEY",
        );
    }
    return answer;
}

/**
 * Reads a page that must exist.
 * @throws CommandError
 */
export async function readEndpoint(ctx: CommandContext, target: EntryTarget, path: string): Promise<unknown> {
    return parseBody(await fetchEndpointOk(ctx, target, path));
}

/**
 * Asks the operator listener for something that it must not refuse.
 * @throws CommandError
 */
export async function fetchEndpointOk(
    ctx: CommandContext,
    target: EntryTarget,
    path: string,
    method: "GET" | "PUT" = "GET",
): Promise<EntryResponse> {
    const answer = await fetchEndpoint(ctx, target, path, method);
    if (answer.status !== 200) {
        throw new CommandError(
            ExitCode.Refused,
            `${target.name} answered ${path} with status ${answer.status}: ${describeBody(answer)}`,
            "check that the address is the operator listener of an entry of this release",
        );
    }
    return answer;
}

/** Returns the body as JSON, or as text when it is something else. */
export function parseBody({ text }: EntryResponse): unknown {
    try {
        return JSON.parse(text) as unknown;
    } catch {
        return text;
    }
}

const maxShownLength = 200;

/** Returns the message in the body of a refusal. */
export function describeBody(answer: EntryResponse): string {
    const body = parseBody(answer);
    const message = (body as { message?: unknown } | undefined)?.message;
    return (typeof message === "string" ? message : answer.text).slice(0, maxShownLength);
}
