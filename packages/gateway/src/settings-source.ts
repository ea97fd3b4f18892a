/** The settings in force. The file may change with or without a signal; a file that cannot be used changes nothing. */
import { stat } from "node:fs/promises";
import { getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger } from "@waxwingdale/core";
import { readGatewaySettings } from "./settings.js";
import type { GatewaySettings } from "./settings.js";

export interface SettingsSource {
    current(): GatewaySettings;
    /** Reads the file again. `reason` goes into the log line. */
    reload(reason: string): Promise<void>;
    /** Looks for changes of the file until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

export interface SettingsSourceOptions {
    path: string;
    initial: GatewaySettings;
    clock: Clock;
    logger: () => Logger;
}

/** Time in milliseconds between two looks at the file's time of change. */
const lookIntervalMs = 1000;

export function createSettingsSource({
    path,
    initial,
    clock,
    logger,
}: SettingsSourceOptions): SettingsSource {
    let current = initial;
    let changedAt: number | undefined;

    const readChangeTime = async (): Promise<number | undefined> => {
        try {
            return (await stat(path)).mtimeMs;
        } catch (err) {
            logger().debug("settings-unreadable", { path, error: getErrorMessage(err) });
            return changedAt;
        }
    };

    const reload = async (reason: string) => {
        try {
            const next = await readGatewaySettings(path);
            const isChanged = JSON.stringify(next) !== JSON.stringify(current);
            if (isChanged && !keepsIdentity(current, next)) {
                logger().warn("reload", { reason, restartNeeded: true });
            } else {
                logger().info("reload", { reason, changed: isChanged });
            }
            // Addresses and place stay those of the start, since listeners and peers know the process by them.
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
            changedAt = await readChangeTime();
            while (!signal.aborted) {
                await clock.sleep(lookIntervalMs, signal);
                const at = await readChangeTime();
                if (at !== changedAt) {
                    changedAt = at;
                    await reload("the file has changed");
                }
            }
        },
    };
}

function keepsIdentity(before: GatewaySettings, after: GatewaySettings): boolean {
    const identity = ({ id, region, zone, listen, store }: GatewaySettings) =>
        JSON.stringify({ id, region, zone, listen, store });
    return identity(before) === identity(after);
}
