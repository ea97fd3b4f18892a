/** Finds the addresses of entries from options or from the entry records in the store. */
import type { ObjectStore } from "@waxwingdale/core";
import { entryPrefix } from "@waxwingdale/manifest";
import { checkAddress, isAddress } from "./address.js";
import { CommandError } from "./command-error.js";
import type { CommandContext } from "./command-context.js";
import { ExitCode } from "./exit-code.js";
import { getOptionValue } from "./options.js";

/** Listener of an entry that a command connects to. */
export enum ListenerKind {
    Operators = "operators",
    Callers = "callers",
}

export interface EntryTarget {
    /** Id of the entry, or its address if only that is known. */
    name: string;
    address: string;
}

const listenerOptions = {
    [ListenerKind.Operators]: { option: "entry", variable: "WAXWINGDALE_ENTRY", field: "operatorAddress" },
    [ListenerKind.Callers]: { option: "caller", variable: "WAXWINGDALE_CALLER", field: "callerAddress" },
} as const;

/** Returns the entry records without validating them. */
export async function listEntryRecords(store: ObjectStore): Promise<Record<string, unknown>[]> {
    const objects = await store.list(entryPrefix);
    return objects.map(({ key, value }) => ({
        id: key.slice(entryPrefix.length),
        ...(typeof value === "object" ? value : undefined),
    }));
}

/**
 * Returns the entries to query: the named one, the one given by the option, or all that have a record in the store.
 * @param name address or id of an entry
 * @throws CommandError if no address is known
 */
export async function findEntries(
    ctx: CommandContext,
    kind: ListenerKind,
    name?: string,
): Promise<EntryTarget[]> {
    const { option, variable, field } = listenerOptions[kind];
    const nameOrAddress = name ?? getOptionValue(ctx.options, option, ctx.env, variable);
    if (nameOrAddress !== undefined && (name === undefined || isAddress(nameOrAddress))) {
        return [{ name: nameOrAddress, address: checkAddress(nameOrAddress, `--${option}`) }];
    }
    const records = await ctx.withStore(listEntryRecords);
    const found = records
        .filter(record => name === undefined || record.id === name)
        .flatMap(record => {
            const address = record[field];
            return typeof address === "string" && isAddress(address)
                ? [{ name: String(record.id), address }]
                : [];
        });
    if (found.length === 0) {
        const what = name === undefined ? "no entry" : `no entry "${name}"`;
        throw new CommandError(
            ExitCode.Refused,
            `${what} in the store has an address for ${kind}`,
            `pass the address with --${option} host:port`,
        );
    }
    return found;
}
