/** Differences between two traffic configurations. API keys are counted, never returned. */
import { ChangeKind, Severity } from "@waxwingdale/core";
import type { ConfigPath, ConfigProblem } from "./check-config.js";
import type { TrafficConfig, Workspace } from "./traffic-config.js";

export interface ConfigChange {
    kind: ChangeKind;
    path: ConfigPath;
    /** Values of a changed field; undefined if a whole entry was added or removed. */
    before?: unknown;
    after?: unknown;
}

/** Number of keys that a workspace gained or lost. Keys that moved have both workspaces. */
export interface KeyChange {
    /** Undefined if the keys were added. */
    from: string | undefined;
    /** Undefined if the keys were removed. */
    to: string | undefined;
    count: number;
}

export interface ConfigDiff {
    changes: ConfigChange[];
    keyChanges: KeyChange[];
}

interface NamedEntry {
    name: string;
}

/** Fields that are not compared as values: the name identifies the entry, and keys are only counted. */
const excludedFields = new Set(["name", "apiKeys"]);

export function diffConfigs(before: TrafficConfig, after: TrafficConfig): ConfigDiff {
    return {
        changes: [
            ...diffEntries("routes", before.routes, after.routes),
            ...diffEntries("services", before.services, after.services),
            ...diffWorkspaceTables(before, after),
            ...diffFields(["limits"], before.limits, after.limits),
        ],
        keyChanges: diffKeys(before.workspaces ?? [], after.workspaces ?? []),
    };
}

/** Instances ignore a configuration whose version is not higher than that in force. */
export function checkVersion(
    { version: before }: TrafficConfig,
    { version: after }: TrafficConfig,
    { changes, keyChanges }: ConfigDiff,
): ConfigProblem | undefined {
    const isChanged = changes.length + keyChanges.length > 0;
    if (after > before || (after === before && !isChanged)) {
        return undefined;
    }
    const message = `version ${after} is not higher than version ${before} in force, so it would be ignored`;
    return { severity: Severity.Error, path: ["version"], message };
}

/** Whether the table exists is a change of its own, since it decides whether requests need keys. */
function diffWorkspaceTables({ workspaces: before }: TrafficConfig, { workspaces: after }: TrafficConfig) {
    const changes = diffEntries("workspaces", before ?? [], after ?? []);
    if ((before === undefined) !== (after === undefined)) {
        const kind = before === undefined ? ChangeKind.Added : ChangeKind.Removed;
        changes.unshift({ kind, path: ["workspaces"] });
    }
    return changes;
}

function diffEntries(
    table: string,
    before: readonly NamedEntry[],
    after: readonly NamedEntry[],
): ConfigChange[] {
    const oldEntries = new Map(before.map(entry => [entry.name, entry]));
    const newEntries = new Map(after.map(entry => [entry.name, entry]));
    return [...new Set([...oldEntries.keys(), ...newEntries.keys()])].flatMap(name => {
        const path = [table, name];
        const oldEntry = oldEntries.get(name);
        const newEntry = newEntries.get(name);
        if (oldEntry === undefined || newEntry === undefined) {
            return [{ kind: oldEntry === undefined ? ChangeKind.Added : ChangeKind.Removed, path }];
        }
        return diffFields(path, oldEntry, newEntry);
    });
}

function diffFields(path: ConfigPath, before: object, after: object): ConfigChange[] {
    const newValues = new Map<string, unknown>(Object.entries(after));
    return Object.entries(before)
        .filter(([field]) => !excludedFields.has(field))
        .map(([field, value]: [string, unknown]) => ({
            kind: ChangeKind.Changed,
            path: [...path, field],
            before: value,
            after: newValues.get(field),
        }))
        .filter(change => JSON.stringify(change.before) !== JSON.stringify(change.after));
}

function diffKeys(before: readonly Workspace[], after: readonly Workspace[]): KeyChange[] {
    const oldHolders = mapKeysToHolders(before);
    const newHolders = mapKeysToHolders(after);
    const changes = new Map<string, KeyChange>();
    for (const apiKey of new Set([...oldHolders.keys(), ...newHolders.keys()])) {
        const from = oldHolders.get(apiKey);
        const to = newHolders.get(apiKey);
        if (from === to) {
            continue;
        }
        const id = JSON.stringify([from, to]);
        const change = changes.get(id) ?? { from, to, count: 0 };
        change.count += 1;
        changes.set(id, change);
    }
    return [...changes.values()];
}

function mapKeysToHolders(workspaces: readonly Workspace[]): Map<string, string> {
    return new Map(workspaces.flatMap(({ name, apiKeys }) => apiKeys.map(apiKey => [apiKey, name])));
}
