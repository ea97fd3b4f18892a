/** The newest configuration that this process has seen. It never goes back to an older version. */
import { createRouteIndex } from "@waxwingdale/balancing";
import type { RouteIndex, TrafficConfig } from "@waxwingdale/balancing";
import type { Logger } from "@waxwingdale/core";

export interface ConfigInForce {
    current(): TrafficConfig | undefined;
    routes(): RouteIndex | undefined;
    /** Applies a configuration unless it is older than the one in force. */
    apply(config: TrafficConfig, source: string): void;
    onChange(listener: (config: TrafficConfig) => void): void;
}

export function createConfigInForce(logger: Logger): ConfigInForce {
    let config: TrafficConfig | undefined;
    let routes: RouteIndex | undefined;
    const listeners: ((config: TrafficConfig) => void)[] = [];
    return {
        current: () => config,
        routes: () => routes,
        apply: (next, source) => {
            const before = config?.version ?? 0;
            if (next.version <= before) {
                logger.info("config-ignored", { version: next.version, inForce: before, source });
                return;
            }
            config = next;
            routes = createRouteIndex(next);
            logger.info("config-applied", {
                version: next.version,
                before,
                routes: next.routes.length,
                source,
            });
            listeners.forEach(listener => listener(next));
        },
        onChange: listener => void listeners.push(listener),
    };
}
