/** Requests to the operator endpoints of entries. */
import { CommandError } from "./command-error.js";
import type { CommandContext, EntryResponse } from "./command-context.js";
import type { EntryTarget } from "./entry-directory.js";
import { ExitCode } from "./exit-code.js";

const unauthorized = 401;
const forbidden = 403;

/**
 * Sends a request to the operator listener of an entry.
 * @throws CommandError if the entry does not respond or rejects the fleet key
 */
export async function fetchEndpoint(
    ctx: CommandContext,
    target: EntryTarget,
    path: string,
    method: "GET" | "PUT" = "GET",
): Promise<EntryResponse> {
    const response = await ctx.fetchFromEntry(target.address, path, await ctx.readFleetKey(), method);
    if (response.status === unauthorized || response.status === forbidden) {
        throw new CommandError(
            ExitCode.Refused,
            `${target.name} rejected the fleet key`,
            "pass the key of the fleet with --key-file or WAXWINGDALE_FLEET_KEY",
        );
    }
    return response;
}

/**
 * Reads an endpoint.
 * @throws CommandError if the status is not 200
 */
export async function readEndpoint(ctx: CommandContext, target: EntryTarget, path: string): Promise<unknown> {
    return parseBody(await fetchEndpointOk(ctx, target, path));
}

/**
 * Sends a request that must succeed to the operator listener.
 * @throws CommandError if the status is not 200
 */
export async function fetchEndpointOk(
    ctx: CommandContext,
    target: EntryTarget,
    path: string,
    method: "GET" | "PUT" = "GET",
): Promise<EntryResponse> {
    const response = await fetchEndpoint(ctx, target, path, method);
    if (response.status !== 200) {
        throw new CommandError(
            ExitCode.Refused,
            `${target.name} responded to ${path} with status ${response.status}: ${describeBody(response)}`,
            "check that the address is the operator listener of an entry of this release",
        );
    }
    return response;
}

/** Parses the body as JSON; returns the text if it is not JSON. */
export function parseBody({ text }: EntryResponse): unknown {
    try {
        return JSON.parse(text) as unknown;
    } catch {
        return text;
    }
}

const maxShownLength = 200;

/** Returns the error message in the body of a response, truncated. */
export function describeBody(response: EntryResponse): string {
    const body = parseBody(response);
    const message = (body as { message?: unknown } | undefined)?.message;
    return (typeof message === "string" ? message : response.text).slice(0, maxShownLength);
}
