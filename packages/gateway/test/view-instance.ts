/** An instance whose view of a store in memory is tested. */
import { createManualClock, createRandom, createSilentLogger, resolveToken } from "@waxwingdale/core";
import type { BackendTable } from "@waxwingdale/balancing";
import type { ManualClock } from "@waxwingdale/core";
import { PlatformProtocol } from "@waxwingdale/platform";
import type { MemoryObjectStore } from "@waxwingdale/store";
import { composeGateway } from "../src/compose-gateway.js";
import { tokens } from "../src/gateway-tokens.js";
import { createMember, declaredBounds } from "./fixtures.js";

/** Declared bounds in seconds. */
export const bounds = { configApplySeconds: 3, drainSeconds: 3, evacuateSeconds: 5 };

export interface Instance<Store extends MemoryObjectStore> {
    clock: ManualClock;
    store: Store;
    table: BackendTable;
    configVersion(): number | undefined;
    servers(): string[];
    evacuatedZones(): readonly string[];
    stop(): Promise<void>;
}

/** Starts an instance and lets it read the store: a configuration, one server and no evacuation. */
export async function startInstance<Store extends MemoryObjectStore>(
    createStore: (clock: ManualClock) => Store,
    otherBounds: Partial<typeof bounds> = {},
): Promise<Instance<Store>> {
    const clock = createManualClock(1000);
    const store = createStore(clock);
    const controller = new AbortController();
    const self = createMember("a", "n-a", "north");
    const scope = composeGateway({
        settings: () => ({
            id: "a",
            region: "north",
            zone: "n-a",
            listen: { callers: "a:1", readiness: "a:3", peers: "a:2", directory: "a:4" },
            seeds: [],
            zones: { "n-a": "north", "n-b": "north" },
            store: "s:1",
            logLevel: "error" as never,
            bounds: { ...declaredBounds, ...bounds, ...otherBounds },
        }),
        self,
        clock,
        random: createRandom(1),
        logger: createSilentLogger(),
        store,
        protocol: new PlatformProtocol(),
        fleetKey: "k",
        signal: controller.signal,
    });
    await store.put("config/main", createConfig(1), 0);
    await store.put("servers/s1", createServer("ready"), 0);
    const config = resolveToken(scope, tokens.config);
    const table = resolveToken(scope, tokens.table);
    const running = [config.run(controller.signal), resolveToken(scope, tokens.storeView).run()];
    await clock.advance(1000);
    return {
        clock,
        store,
        table,
        configVersion: () => config.current()?.version,
        servers: () => table.usable("files").map(({ record }) => record.id),
        evacuatedZones: () => table.evacuatedZones(),
        stop: async () => {
            controller.abort();
            await clock.advance(20_000);
            await Promise.all(running);
        },
    };
}

export function createConfig(version: number) {
    return { version: `r${version}`, routes: {}, services: { files: {} } };
}

export function createServer(state: string, more: object = {}) {
    return {
        address: "10.0.0.9:80",
        born: 1,
        info: { service: "files", zone: "n-a", slots: 3 },
        status: { state },
        ...more,
    };
}
