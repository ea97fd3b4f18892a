/** Entries with their own views, a lossy network and a store with faults, all on one manual clock. */
import {
    MemberStatus,
    ObjectStore,
    PeerTimeoutError,
    PeerUnreachableError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    createManualClock,
    createRandom,
    createSilentLogger,
} from "@waxwingdale/core";
import type { Clock, ManualClock, Member, MemberView, PeerTransport, RpcHandler } from "@waxwingdale/core";
import { createClaimService } from "@waxwingdale/claims";
import type { ClaimLimits, ManagedClaimService } from "@waxwingdale/claims";
import { MemoryObjectStore } from "@waxwingdale/store";
import type { ShardArchive, ShardHead } from "../src/claim-record.js";

export const defaultLimits: ClaimLimits = {
    shards: 2,
    maxWritesPerSecond: 100,
    retentionSeconds: 3600,
    maxOutcomeBytes: 4096,
};

/** Store that records what takes effect and when, and whose writes can arrive after their sender gave up. */
export class RecordingStore extends ObjectStore {
    readonly inner: MemoryObjectStore;
    readonly writeTimes: number[] = [];
    /** Attempts that were running in some version of a head. */
    readonly committed = new Set<string>();
    /** Responses by attempt id in some version of a head or archive. */
    readonly finished = new Map<string, string>();
    /** Number of coming writes whose sender gets no answer and that arrive two seconds later. */
    lateWrites = 0;

    constructor(private readonly clock: ManualClock) {
        super();
        this.inner = new MemoryObjectStore(clock);
    }

    override async put(key: string, value: unknown, expectedVersion: number): Promise<number> {
        this.writeTimes.push(this.clock.now());
        if (this.lateWrites > 0) {
            this.lateWrites--;
            this.clock.setTimer(2000, () => {
                this.apply(key, value, expectedVersion).catch(() => undefined);
            });
            throw new StoreOutcomeUnknownError("the connection broke");
        }
        return this.apply(key, value, expectedVersion);
    }

    private async apply(key: string, value: unknown, expectedVersion: number): Promise<number> {
        try {
            const version = await this.inner.put(key, value, expectedVersion);
            this.record(value);
            return version;
        } catch (err) {
            if (err instanceof StoreOutcomeUnknownError) {
                this.record(value);
            }
            throw err;
        }
    }

    private record(value: unknown): void {
        const records = (value as Partial<ShardHead & ShardArchive>).records ?? [];
        for (const [, , attemptId, , , , , , state, response] of records) {
            this.committed.add(attemptId);
            if (String(state) === "finished") {
                this.finished.set(attemptId, JSON.stringify(response));
            }
        }
    }

    override get(key: string) {
        return this.inner.get(key);
    }
    override list(prefix: string) {
        return this.inner.list(prefix);
    }
    override async delete(key: string, expectedVersion: number) {
        this.writeTimes.push(this.clock.now());
        await this.inner.delete(key, expectedVersion);
    }
    override watch(): Promise<never> {
        return Promise.reject(new StoreUnavailableError("not used"));
    }
    override listInstances(): Promise<never> {
        return Promise.reject(new StoreUnavailableError("not used"));
    }
}

export interface Node {
    id: string;
    service: ManagedClaimService;
    isCrashed: boolean;
    /** Sets what this node believes of another one. */
    believe(id: string, change: Partial<Member>): void;
    pause(): void;
    resume(): void;
    methods: Map<string, RpcHandler>;
    gate(): Promise<void>;
}

export interface Network {
    lossShare: number;
    duplicateShare: number;
    maxDelayMs: number;
}

export function createFleet(
    ids: string[],
    options: { seed?: number; limits?: Partial<ClaimLimits>; maxOwnedBytes?: number } = {},
) {
    const clock = createManualClock(1_000_000);
    const random = createRandom(options.seed ?? 1);
    const store = new RecordingStore(clock);
    const limits = { ...defaultLimits, ...options.limits };
    const network: Network = { lossShare: 0, duplicateShare: 0, maxDelayMs: 2 };
    const nodes = new Map<string, Node>();
    const incarnations = new Map(ids.map(id => [id, 1]));
    let calls = 0;

    const start = (id: string): Node => {
        let held: (() => void)[] | undefined;
        const gate = () => new Promise<void>(resolve => (held ? held.push(resolve) : resolve()));
        const methods = new Map<string, RpcHandler>();
        const node = { id, methods, gate, isCrashed: false } as Node;
        const nodeClock: Clock = {
            ...clock,
            setTimer: (ms, run) =>
                clock.setTimer(ms, () => {
                    const runAlive = () => (node.isCrashed ? undefined : run());
                    return held ? void held.push(runAlive) : runAlive();
                }),
            sleep: async (ms, signal) => {
                await clock.sleep(ms, signal);
                await stopIfCrashed(node);
            },
        };
        const rows = new Map(ids.map(other => [other, createRow(other, incarnations.get(other)!)]));
        const listeners = new Set<() => void>();
        const view: MemberView = {
            self: () => rows.get(id)!,
            members: () => [...rows.values()],
            liveInRegion: () =>
                [...rows.values()].filter(
                    row => row.status === MemberStatus.Live || row.status === MemberStatus.Suspect,
                ),
            find: other => rows.get(other),
            onChange: listener => {
                listeners.add(listener);
                return () => listeners.delete(listener);
            },
        };
        node.believe = (other, change) => {
            rows.set(other, { ...rows.get(other)!, ...change });
            listeners.forEach(listener => listener());
        };
        node.pause = () => (held ??= []);
        node.resume = () => {
            const waiting = held ?? [];
            held = undefined;
            waiting.forEach(run => run());
        };
        node.service = createClaimService({
            store: createGatedStore(store, node),
            view,
            transport: createTransport(node),
            rpc: { addMethod: (name, handler) => void methods.set(name, handler) },
            storeRegion: () => "north",
            limits: () => limits,
            clock: nodeClock,
            random: createRandom(incarnations.get(id)! * 31 + ids.indexOf(id)),
            logger: createSilentLogger(),
            maxOwnedBytes: options.maxOwnedBytes,
        });
        nodes.set(id, node);
        return node;
    };

    /** Runs a call as the target sees it: late, twice or not at all. */
    const createTransport = (from: Node): PeerTransport => ({
        call: async <Result>(address: string, method: string, params: unknown, timeoutMs: number) => {
            calls++;
            const deliver = async () => {
                await clock.sleep(random() * network.maxDelayMs);
                const target = nodes.get(address);
                if (target === undefined || target.isCrashed) {
                    throw new PeerUnreachableError(`${address} is down`);
                }
                await target.gate();
                const result = await target.methods.get(method)!(copy(params), from.id);
                await target.gate();
                await clock.sleep(random() * network.maxDelayMs);
                return copy(result) as Result;
            };
            const isLost = random() < network.lossShare;
            const isAnswerLost = random() < network.lossShare;
            if (random() < network.duplicateShare) {
                clock.setTimer(random() * 8000, () => void deliver().catch(() => undefined));
            }
            const timeout = clock.sleep(timeoutMs).then(() => {
                throw new PeerTimeoutError("no answer");
            });
            const answer = isLost ? timeout : deliver();
            answer.catch(() => undefined);
            timeout.catch(() => undefined);
            try {
                return await Promise.race([isAnswerLost ? timeout : answer, timeout]);
            } finally {
                await stopIfCrashed(from);
            }
        },
    });

    return {
        clock,
        store,
        network,
        nodes,
        limits,
        start,
        countCalls: () => calls,
        crash: (id: string) => {
            nodes.get(id)!.isCrashed = true;
            nodes.get(id)!.service.close();
        },
        /** Starts a crashed node again; the others learn of it by `learnAll`. */
        restart: (id: string) => {
            incarnations.set(id, incarnations.get(id)! + 1);
            start(id);
        },
        /** Makes every view correct. */
        learnAll: () => {
            for (const node of nodes.values()) {
                for (const id of ids) {
                    const status = nodes.get(id)!.isCrashed ? MemberStatus.Dead : MemberStatus.Live;
                    node.believe(id, { status, incarnation: incarnations.get(id)! });
                }
            }
        },
    };
}

function createGatedStore(store: RecordingStore, node: Node): ObjectStore {
    const guard = async <Value>(call: Promise<Value>): Promise<Value> => {
        try {
            return await call;
        } finally {
            await stopIfCrashed(node);
        }
    };
    return {
        get: key => guard(store.get(key)),
        list: prefix => guard(store.list(prefix)),
        listWithVersion: prefix => guard(store.listWithVersion(prefix)),
        put: (key, value, version) => guard(store.put(key, value, version)),
        delete: (key, version) => guard(store.delete(key, version)),
        watch: () => store.watch(),
        poll: () => store.watch(),
        watchPeers: async () => undefined,
        listInstances: () => store.listInstances(),
    };
}

/** Holds the code of a paused process, and of a dead one for ever. */
async function stopIfCrashed(node: Node): Promise<void> {
    await node.gate();
    if (node.isCrashed) {
        await new Promise<never>(() => undefined);
    }
}

function createRow(id: string, incarnation: number): Member {
    return {
        id,
        incarnation,
        session: incarnation,
        status: MemberStatus.Live,
        region: "north",
        zone: "north-1",
        callerAddress: id,
        peerAddress: id,
        ready: true,
    };
}

function copy(value: unknown): unknown {
    return value === undefined ? undefined : JSON.parse(JSON.stringify(value));
}
