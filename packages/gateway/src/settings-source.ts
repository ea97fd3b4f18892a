/** Current settings, reloaded on request and when the file changes. An invalid file is ignored. */
import { stat } from "node:fs/promises";
import { getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger } from "@waxwingdale/core";
import { readGatewaySettings } from "./settings.js";
import type { GatewaySettings } from "./settings.js";

export interface SettingsSource {
    current(): GatewaySettings;
    /** Reloads the file. `reason` is logged. */
    reload(reason: string): Promise<void>;
    /** Polls the file for changes until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

export interface SettingsSourceOptions {
    path: string;
    initial: GatewaySettings;
    clock: Clock;
    logger: () => Logger;
}

/** Interval in milliseconds at which the file's modification time is checked. */
const pollIntervalMs = 1000;

export function createSettingsSource({
    path,
    initial,
    clock,
    logger,
}: SettingsSourceOptions): SettingsSource {
    let current = initial;
    let modifiedAt: number | undefined;

    const readModificationTime = async (): Promise<number | undefined> => {
        try {
            return (await stat(path)).mtimeMs;
        } catch (err) {
            logger().debug("settings-unreadable", { path, error: getErrorMessage(err) });
            return modifiedAt;
        }
    };

    const reload = async (reason: string) => {
        try {
            const next = await readGatewaySettings(path);
            const isChanged = JSON.stringify(next) !== JSON.stringify(current);
            if (isChanged && !hasSameIdentity(current, next)) {
                logger().warn("reload", { reason, restartNeeded: true });
            } else {
                logger().info("reload", { reason, changed: isChanged });
            }
            // Identity, location and addresses stay as they were at startup: listeners and peers depend on them.
            current = {
                ...next,
                id: current.id,
                region: current.region,
                zone: current.zone,
                listen: current.listen,
            };
        } catch (err) {
            logger().error("reload-failed", { reason, error: getErrorMessage(err) });
        }
    };

    return {
        current: () => current,
        reload,
        run: async signal => {
            modifiedAt = await readModificationTime();
            while (!signal.aborted) {
                await clock.sleep(pollIntervalMs, signal);
                const at = await readModificationTime();
                if (at !== modifiedAt) {
                    modifiedAt = at;
                    await reload("the file has changed");
                }
            }
        },
    };
}

function hasSameIdentity(before: GatewaySettings, after: GatewaySettings): boolean {
    const identity = ({ id, region, zone, listen, store }: GatewaySettings) =>
        JSON.stringify({ id, region, zone, listen, store });
    return identity(before) === identity(after);
}
