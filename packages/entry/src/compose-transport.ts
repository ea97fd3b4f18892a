/** Registers RPC between entries, membership and the record of this entry. */
import { createRpcClient, createRpcServer } from "@waxwingdale/core";
import { createMembership } from "@waxwingdale/membership";
import { createEntryRecordWriter } from "./entry-record.js";
import { tokens } from "./entry-tokens.js";
import type { RegisterComponent } from "./entry-tokens.js";

export function composeTransport(add: RegisterComponent): void {
    add(tokens.rpcServer, get => createRpcServer(get(tokens.context).logger));
    add(tokens.rpcClient, get => {
        const { settings, fleetKey, logger } = get(tokens.context);
        return createRpcClient({ id: settings.id, fleetKey, logger });
    });
    add(tokens.membership, get => {
        const { self, clock, random, logger, settings } = get(tokens.context);
        const findSeeds = async () => {
            const recorded = await get(tokens.entryRecord)
                .listPeerAddresses()
                .catch(() => []);
            return [...settings.seeds, ...recorded];
        };
        return createMembership({
            self,
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            random,
            logger,
            findSeeds,
        });
    });
    add(tokens.entryRecord, get => {
        const { store, clock, logger, operatorAddress, signal } = get(tokens.context);
        return createEntryRecordWriter({
            store,
            clock,
            logger,
            operatorAddress,
            signal,
            self: () => get(tokens.membership).self(),
        });
    });
}
