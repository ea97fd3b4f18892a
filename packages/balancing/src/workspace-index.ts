/** Workspace lookup by API key. */
import type { Workspace } from "./traffic-config.js";

export interface WorkspaceIndex {
    /** Returns the workspace that holds the key, or undefined if there is none. */
    find(apiKey: string): Workspace | undefined;
}

/** Builds the index for one version of the configuration. */
export function createWorkspaceIndex(workspaces: readonly Workspace[]): WorkspaceIndex {
    const byKey = new Map(
        workspaces.flatMap(workspace => workspace.apiKeys.map(apiKey => [apiKey, workspace] as const)),
    );
    return { find: apiKey => byKey.get(apiKey) };
}
