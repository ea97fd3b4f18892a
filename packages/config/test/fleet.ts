/** A fleet of entries that gossip over an in-memory network, which `canReach` can partition. */
import {
    PeerUnreachableError,
    createLogger,
    createManualClock,
    createRandom,
    rankOwners,
} from "@waxwingdale/core";
import type { ManualClock, ObjectStore, PeerTransport, Random, RpcHandler } from "@waxwingdale/core";
import type { AcceptedManifest, Manifest } from "@waxwingdale/manifest";
import { manifestKey } from "@waxwingdale/manifest";
import { MemoryObjectStore } from "@waxwingdale/store";
import { createAcceptedConfig, createDocumentExchange } from "@waxwingdale/config";
import type { AcceptedConfig, DocumentExchange } from "@waxwingdale/config";

export interface FakeEntry {
    address: string;
    config: AcceptedConfig;
    exchange: DocumentExchange;
    /** The entry's connection to the store. */
    store: MemoryObjectStore;
    /** Generations in the order in which they became active. */
    applied: number[];
    log: string[];
    methods: Map<string, RpcHandler>;
    stop: () => void;
}

export interface EntryOptions {
    formats?: number[];
    store?: MemoryObjectStore;
}

export interface Fleet {
    clock: ManualClock;
    random: Random;
    entries: FakeEntry[];
    canReach: (from: string, to: string) => boolean;
    add(options?: EntryOptions): FakeEntry;
    /** Makes each entry exchange digests with the next peer in its own shuffled order. */
    gossip(): Promise<void>;
    generations(): number[];
}

export function makeManifest(generation: number, formatVersion = 1): AcceptedManifest {
    const manifest = { formatVersion, deployment: `g${generation}` } as unknown as Manifest;
    return { generation, pushId: `push-${generation}`, formatVersion, manifest };
}

/** Parses manifests created by `makeManifest`. */
function parseManifest(value: unknown): Manifest {
    const { deployment } = value as Manifest;
    if (typeof deployment !== "string") {
        throw new Error("deployment is missing");
    }
    return value as Manifest;
}

function createDownStore(clock: ManualClock): MemoryObjectStore {
    const store = new MemoryObjectStore(clock);
    store.faults.down = true;
    return store;
}

/** Writes a manifest to a store, in place of the current one. */
export async function writeManifest(store: ObjectStore, next: AcceptedManifest): Promise<void> {
    await store.put(manifestKey, next, (await store.get(manifestKey))?.version ?? 0);
}

export function createFleet(seed = 1): Fleet {
    const clock = createManualClock();
    const random = createRandom(seed);
    const entries: FakeEntry[] = [];
    const peerQueues = new Map<string, string[]>();
    let count = 0;

    const createTransport = (from: string): PeerTransport => ({
        call: async <Result>(to: string, method: string, params: unknown) => {
            const peer = entries.find(({ address }) => address === to);
            if (peer === undefined || !fleet.canReach(from, to)) {
                throw new PeerUnreachableError(`cannot reach ${to}`);
            }
            const result = await peer.methods.get(method)!(JSON.parse(JSON.stringify(params)), from);
            return JSON.parse(JSON.stringify(result)) as Result;
        },
    });

    const nextPeer = (from: string): FakeEntry | undefined => {
        const others = entries.map(({ address }) => address).filter(address => address !== from);
        const queue = peerQueues.get(from) ?? [];
        const order = queue.length > 0 ? queue : rankOwners(`${random()}`, others);
        peerQueues.set(from, order.slice(1));
        return entries.find(({ address }) => address === order[0]);
    };

    const fleet: Fleet = {
        clock,
        random,
        entries,
        canReach: () => true,
        add: (options = {}) => {
            const address = `entry-${count++}`;
            const store = options.store ?? createDownStore(clock);
            const methods = new Map<string, RpcHandler>();
            const log: string[] = [];
            const logger = createLogger(clock, { write: line => log.push(line) });
            const registry = { addMethod: (name: string, run: RpcHandler) => void methods.set(name, run) };
            const exchange = createDocumentExchange({ registry, logger });
            const { formats } = options;
            const shared = { store, exchange, clock, random, logger, transport: createTransport(address) };
            const config = createAcceptedConfig({ ...shared, parseManifest, formats });
            const applied: number[] = [];
            config.onChange(({ generation }) => applied.push(generation));
            const controller = new AbortController();
            void config.run(controller.signal);
            const stop = () => controller.abort();
            const entry: FakeEntry = { address, config, exchange, store, applied, log, methods, stop };
            entries.push(entry);
            return entry;
        },
        gossip: async () => {
            for (const from of entries) {
                const to = nextPeer(from.address);
                if (to !== undefined && fleet.canReach(from.address, to.address)) {
                    // The request and the response of one exchange carry a digest each.
                    const digest = from.exchange.getDigest();
                    from.exchange.handlePeerDigest(to.address, to.exchange.getDigest());
                    to.exchange.handlePeerDigest(from.address, digest);
                }
            }
            await clock.advance(500);
        },
        generations: () => entries.map(({ config }) => config.status().generation),
    };
    return fleet;
}

/** Gossips until every entry has the generation, and returns the number of rounds. */
export async function gossipUntil(fleet: Fleet, generation: number, limit: number): Promise<number> {
    for (let rounds = 0; rounds <= limit; rounds++) {
        if (fleet.generations().every(current => current === generation)) {
            return rounds;
        }
        await fleet.gossip();
    }
    throw new Error(`generations after ${limit} rounds: ${fleet.generations().join(" ")}`);
}
