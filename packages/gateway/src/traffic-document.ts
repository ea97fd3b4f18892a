/** Active traffic configuration, from the store or from a peer with a newer one. Its version never decreases. */
import { createRouteIndex } from "@waxwingdale/balancing";
import type { RouteIndex, TrafficConfig } from "@waxwingdale/balancing";
import { createReplicatedDocument } from "@waxwingdale/config";
import type { ReplicatedDocument, ReplicatedDocumentOptions } from "@waxwingdale/config";
import { configKey, decodeConfig, readConfigVersion } from "@waxwingdale/platform";

/** Name of the configuration among the documents that instances exchange. */
export const trafficDocumentName = "traffic";

export interface TrafficDocument {
    current(): TrafficConfig | undefined;
    routes(): RouteIndex | undefined;
    onChange(listener: (config: TrafficConfig) => void): void;
    run: ReplicatedDocument<TrafficConfig>["run"];
}

export type TrafficDocumentOptions = Omit<
    ReplicatedDocumentOptions<TrafficConfig>,
    "name" | "key" | "getOrder" | "parse"
>;

export function createTrafficDocument(options: TrafficDocumentOptions): TrafficDocument {
    const document = createReplicatedDocument<TrafficConfig>({
        ...options,
        name: trafficDocumentName,
        key: configKey,
        getOrder: value => [readConfigVersion(value)],
        parse: decodeConfig,
    });
    let routes: RouteIndex | undefined;
    document.onChange(config => {
        routes = createRouteIndex(config);
    });
    return {
        current: () => document.current(),
        routes: () => routes,
        onChange: listener => void document.onChange(listener),
        run: signal => document.run(signal),
    };
}
