/** Simulates entries with separate views, a lossy network and a faulty store on one manual clock. */
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

/** Store that records writes, their times and effects, and can apply writes after their sender has timed out. */
export class RecordingStore extends ObjectStore {
    readonly inner: MemoryObjectStore;
    readonly writeTimes: number[] = [];
    /** Ids of attempts that appear in any version of a head or archive. */
    readonly committed = new Set<string>();
    /** Responses by attempt id, from any version of a head or archive. */
    readonly finished = new Map<string, string>();
    /** Number of upcoming writes that get no response and are applied 2 s later. */
    delayedWrites = 0;

    constructor(private readonly clock: ManualClock) {
        super();
        this.inner = new MemoryObjectStore(clock);
    }

    override async put(key: string, value: unknown, expectedVersion: number): Promise<number> {
        this.writeTimes.push(this.clock.now());
        if (this.delayedWrites > 0) {
            this.delayedWrites--;
            this.clock.setTimer(2000, () => {
                this.apply(key, value, expectedVersion).catch(() => undefined);
            });
            throw new StoreOutcomeUnknownError("the connection was lost");
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

export interface FleetNode {
    id: string;
    service: ManagedClaimService;
    isCrashed: boolean;
    /** Changes this node's view of another one. */
    updateMember(id: string, change: Partial<Member>): void;
    pause(): void;
    resume(): void;
    methods: Map<string, RpcHandler>;
    waitWhilePaused(): Promise<void>;
}

export interface NetworkFaults {
    lossRate: number;
    duplicateRate: number;
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
    const network: NetworkFaults = { lossRate: 0, duplicateRate: 0, maxDelayMs: 2 };
    const nodes = new Map<string, FleetNode>();
    const incarnations = new Map(ids.map(id => [id, 1]));
    let callCount = 0;

    const start = (id: string): FleetNode => {
        let pausedTasks: (() => void)[] | undefined;
        const waitWhilePaused = () =>
            new Promise<void>(resolve => (pausedTasks ? pausedTasks.push(resolve) : resolve()));
        const methods = new Map<string, RpcHandler>();
        const node = { id, methods, waitWhilePaused, isCrashed: false } as FleetNode;
        const nodeClock: Clock = {
            ...clock,
            setTimer: (ms, run) =>
                clock.setTimer(ms, () => {
                    const runUnlessCrashed = () => (node.isCrashed ? undefined : run());
                    return pausedTasks ? void pausedTasks.push(runUnlessCrashed) : runUnlessCrashed();
                }),
            sleep: async (ms, signal) => {
                await clock.sleep(ms, signal);
                await waitWhileStopped(node);
            },
        };
        const members = new Map(ids.map(other => [other, createMember(other, incarnations.get(other)!)]));
        const listeners = new Set<() => void>();
        const view: MemberView = {
            self: () => members.get(id)!,
            members: () => [...members.values()],
            liveInRegion: () =>
                [...members.values()].filter(
                    member => member.status === MemberStatus.Live || member.status === MemberStatus.Suspect,
                ),
            find: other => members.get(other),
            onChange: listener => {
                listeners.add(listener);
                return () => listeners.delete(listener);
            },
        };
        node.updateMember = (other, change) => {
            members.set(other, { ...members.get(other)!, ...change });
            listeners.forEach(listener => listener());
        };
        node.pause = () => (pausedTasks ??= []);
        node.resume = () => {
            const resumedTasks = pausedTasks ?? [];
            pausedTasks = undefined;
            resumedTasks.forEach(run => run());
        };
        node.service = createClaimService({
            store: createNodeStore(store, node),
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

    /** Delivers calls late, twice or not at all. */
    const createTransport = (from: FleetNode): PeerTransport => ({
        call: async <Result>(address: string, method: string, params: unknown, timeoutMs: number) => {
            callCount++;
            const deliver = async () => {
                await clock.sleep(random() * network.maxDelayMs);
                const target = nodes.get(address);
                if (target === undefined || target.isCrashed) {
                    throw new PeerUnreachableError(`${address} is down`);
                }
                await target.waitWhilePaused();
                const result = await target.methods.get(method)!(copy(params), from.id);
                await target.waitWhilePaused();
                await clock.sleep(random() * network.maxDelayMs);
                return copy(result) as Result;
            };
            const isLost = random() < network.lossRate;
            const isResponseLost = random() < network.lossRate;
            if (random() < network.duplicateRate) {
                clock.setTimer(random() * 8000, () => void deliver().catch(() => undefined));
            }
            const timeout = clock.sleep(timeoutMs).then(() => {
                throw new PeerTimeoutError("no response");
            });
            const response = isLost ? timeout : deliver();
            response.catch(() => undefined);
            timeout.catch(() => undefined);
            try {
                return await Promise.race([isResponseLost ? timeout : response, timeout]);
            } finally {
                await waitWhileStopped(from);
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
        countCalls: () => callCount,
        crash: (id: string) => {
            nodes.get(id)!.isCrashed = true;
            nodes.get(id)!.service.close();
        },
        /** Restarts a crashed node. The others see it after `syncViews`. */
        restart: (id: string) => {
            incarnations.set(id, incarnations.get(id)! + 1);
            start(id);
        },
        /** Updates all views to the actual state. */
        syncViews: () => {
            for (const node of nodes.values()) {
                for (const id of ids) {
                    const status = nodes.get(id)!.isCrashed ? MemberStatus.Dead : MemberStatus.Live;
                    node.updateMember(id, { status, incarnation: incarnations.get(id)! });
                }
            }
        },
    };
}

function createNodeStore(store: RecordingStore, node: FleetNode): ObjectStore {
    const guard = async <Value>(call: Promise<Value>): Promise<Value> => {
        try {
            return await call;
        } finally {
            await waitWhileStopped(node);
        }
    };
    return {
        era: () => undefined,
        onEraChange: () => () => undefined,
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

/** Suspends the code of a paused node until it resumes, and that of a crashed node forever. */
async function waitWhileStopped(node: FleetNode): Promise<void> {
    await node.waitWhilePaused();
    if (node.isCrashed) {
        await new Promise<never>(() => undefined);
    }
}

function createMember(id: string, incarnation: number): Member {
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
