/** Composes the calls between instances, membership, and what is known of the fleet. */
import { createCandidateHistory } from "@waxwingdale/balancing";
import { createRpcClient, createRpcServer } from "@waxwingdale/core";
import { createMembership } from "@waxwingdale/membership";
import { tokens } from "./gateway-tokens.js";
import type { RegisterComponent } from "./gateway-tokens.js";
import { createInstanceDirectory } from "./instance-directory.js";
import { createInstanceTopology } from "./instance-topology.js";
import { createStoreWitness } from "./store-witness.js";

/** Time in milliseconds after which an instance that finds nobody, and cannot ask the store, counts as alone. */
const aloneAfterMs = 5000;

/** Registers the components for calls between instances and for membership. */
export function composePeers(add: RegisterComponent): void {
    add(tokens.rpcServer, get => createRpcServer(get(tokens.context).logger));
    add(tokens.rpcClient, get => {
        const { settings, fleetKey, logger } = get(tokens.context);
        return createRpcClient({ id: settings().id, fleetKey, connections: 1, logger });
    });
    add(tokens.storeWitness, get => createStoreWitness(get(tokens.context)));
    add(tokens.membership, get => {
        const { self, clock, random, logger, settings } = get(tokens.context);
        return createMembership({
            self,
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            random,
            logger,
            findSeeds: async () => settings().seeds,
            findPeers: () => get(tokens.storeWitness).findPeers(),
            witness: get(tokens.storeWitness),
        });
    });
    add(tokens.isEstablished, get => {
        const { clock, settings } = get(tokens.context);
        const startedAt = clock.now();
        return () =>
            get(tokens.membership).hasJoined() ||
            clock.now() - startedAt >= (settings().seeds.length > 0 ? aloneAfterMs : 0);
    });
    add(tokens.topology, get =>
        createInstanceTopology({
            selfId: get(tokens.context).self.id,
            members: () => get(tokens.membership).members(),
        }),
    );
    add(tokens.candidateHistory, get => {
        const { clock, settings } = get(tokens.context);
        return createCandidateHistory({
            clock,
            areas: () => [...new Set(Object.values(settings().zones))],
            countInstances: () => get(tokens.topology).budgetDivisor(),
            candidates: region => get(tokens.topology).inRegionOrAll(region),
            isEstablished: get(tokens.isEstablished),
        });
    });
    add(tokens.coldSenderHistory, get => {
        const { clock, settings } = get(tokens.context);
        return createCandidateHistory({
            clock,
            areas: () => Object.keys(settings().zones),
            countInstances: () => get(tokens.topology).budgetDivisor(),
            candidates: zone => get(tokens.topology).nearest(zone, settings().zones[zone] ?? ""),
            isEstablished: get(tokens.isEstablished),
        });
    });
    add(tokens.directory, get => createInstanceDirectory(() => get(tokens.membership).members()));
}
