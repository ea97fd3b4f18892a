/** Simulates the entries of one region and a network that delays, loses and duplicates messages, on a manual clock. */
import {
    MemberStatus,
    PeerTimeoutError,
    PeerUnreachableError,
    SlotResult,
    createSilentLogger,
} from "@waxwingdale/core";
import type {
    BackendServer,
    Clock,
    ManualClock,
    Member,
    MemberView,
    PeerTransport,
    Random,
    RpcHandler,
    Slot,
    SlotRequest,
} from "@waxwingdale/core";
import { createLinkShaper, createSlotBroker } from "@waxwingdale/limits";
import type { LimitsConfig, Link, LinkShaper, LinkShaperConfig, SlotBroker } from "@waxwingdale/limits";

export interface NetworkFaults {
    minDelayMs: number;
    maxDelayMs: number;
    loss: number;
    duplication: number;
    /** Time until the other entries learn of one that starts or returns. */
    propagationDelayMs: number;
}

export interface FakeEntry {
    readonly id: string;
    readonly broker: SlotBroker;
    readonly shaper: LinkShaper;
    readonly view: MemberView;
    readonly methods: Map<string, RpcHandler>;
    isCrashed: boolean;
    isPaused: boolean;
    isIsolated: boolean;
}

export interface FakeRegion {
    readonly entries: readonly FakeEntry[];
    readonly servers: BackendServer[];
    readonly faults: NetworkFaults;
    entry(id: string): FakeEntry;
    start(id: string): FakeEntry;
    crash(id: string): void;
    pause(id: string): void;
    resume(id: string): void;
    isolate(id: string): void;
    heal(id: string): void;
    /** Sets the status of an entry in the view of another one. */
    setStatus(viewer: string, id: string, status: MemberStatus): void;
    /** Sets the status of an entry in the views of all entries, including its own. */
    setStatusForAll(id: string, status: MemberStatus): void;
    /** Runs a request for `serviceMs` and resolves with its wait, or rejects as `acquire` does. */
    run(
        id: string,
        serviceMs: number,
        req?: Partial<SlotRequest>,
    ): Promise<{ waitedMs: number; server: string }>;
    /** Counts a request as running on the slot's server until the returned function is called. */
    occupy(slot: Slot): () => void;
    inFlight(serverId: string): number;
    /** Current and maximum number of wants in flight from one entry to another. */
    wantsInFlight(from: string, to: string): { now: number; max: number };
    /** Returns the largest number of requests beyond the slots of any server since the last call. */
    takeLargestExcess(): number;
    /** Time at which a server last had more requests than slots. */
    lastExcessAt(): number;
    totals: { completed: number; refused: number };
}

export const service = "register";
export const noServers = new Set<string>();

interface FakeRegionOptions {
    clock: ManualClock;
    random: Random;
    entries?: number;
    servers?: number;
    slots?: number;
    cfg?: Partial<LimitsConfig>;
    links?: Link[];
    linkCfg?: Partial<LinkShaperConfig>;
    faults?: Partial<NetworkFaults>;
}

export function createFakeRegion(options: FakeRegionOptions): FakeRegion {
    const { clock, random } = options;
    const faults: NetworkFaults = {
        minDelayMs: 1,
        maxDelayMs: 1,
        loss: 0,
        duplication: 0,
        propagationDelayMs: 0,
        ...options.faults,
    };
    const views = new Map<string, Map<string, Member>>();
    const listeners = new Map<string, Set<() => void>>();
    const entries = new Map<string, FakeEntry>();
    const deferred = new Map<string, (() => void)[]>();
    const inFlight = new Map<string, number>();
    const totals = { completed: 0, refused: 0 };
    const wantCounts = new Map<string, { now: number; max: number }>();
    let largestExcess = 0;
    let lastExcessAt = -Infinity;

    const servers: BackendServer[] = Array.from({ length: options.servers ?? 8 }, (_, index) => ({
        id: `s${index}`,
        service,
        address: `127.0.0.1:${9000 + index}`,
        region: "north",
        zone: "a",
        slots: options.slots ?? 3,
        draining: false,
    }));

    const createMember = (id: string): Member => ({
        id,
        incarnation: 1,
        session: 1,
        status: MemberStatus.Live,
        region: "north",
        zone: "a",
        callerAddress: id,
        peerAddress: id,
        ready: true,
    });

    /** Runs a callback of an entry. Defers it while the entry is paused and drops it if the entry has crashed. */
    const runAs = (id: string, callback: () => void) => {
        const entry = entries.get(id);
        if (entry?.isCrashed) {
            return;
        }
        if (entry?.isPaused) {
            deferred.get(id)!.push(callback);
        } else {
            callback();
        }
    };

    const createEntryClock = (id: string): Clock => {
        const setTimer: Clock["setTimer"] = (ms, callback) => {
            let isCancelled = false;
            clock.setTimer(ms, () => runAs(id, () => !isCancelled && callback()));
            return { cancel: () => (isCancelled = true) };
        };
        return {
            now: () => clock.now(),
            wallTime: () => clock.wallTime(),
            setTimer,
            sleep: ms => new Promise(resolve => setTimer(ms, resolve)),
        };
    };

    const isPartitioned = (a: string, b: string) => entries.get(a)!.isIsolated || entries.get(b)!.isIsolated;
    const randomDelayMs = () => faults.minDelayMs + random() * (faults.maxDelayMs - faults.minDelayMs);

    /** Delivers a message once, twice or not at all. */
    const transmit = (from: string, to: string, deliver: () => void) => {
        const copies = random() < faults.duplication ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (random() >= faults.loss) {
                clock.setTimer(randomDelayMs(), () => !isPartitioned(from, to) && runAs(to, deliver));
            }
        }
    };

    const getWantsInFlight = (from: string, to: string) => {
        const key = `${from}>${to}`;
        const counts = wantCounts.get(key) ?? { now: 0, max: 0 };
        wantCounts.set(key, counts);
        return counts;
    };

    const createTransport = (from: string): PeerTransport => ({
        call: (to, method, params, timeoutMs) =>
            new Promise((resolve, reject) => {
                if (!entries.has(to) || entries.get(to)!.isCrashed) {
                    setTimeout(reject, 0, new PeerUnreachableError("refused"));
                    return;
                }
                const body = JSON.stringify(params);
                const counts = getWantsInFlight(from, to);
                let weight = method === "slots.want" ? 1 : 0;
                counts.now += weight;
                counts.max = Math.max(counts.max, counts.now);
                const done = () => {
                    counts.now -= weight;
                    weight = 0;
                };
                clock.setTimer(timeoutMs, () => runAs(from, () => reject(new PeerTimeoutError("timeout"))));
                clock.setTimer(timeoutMs, done);
                transmit(from, to, () => {
                    const result = JSON.stringify(
                        entries.get(to)!.methods.get(method)!(JSON.parse(body), from),
                    );
                    transmit(to, from, () => {
                        done();
                        resolve(JSON.parse(result) as never);
                    });
                });
            }),
    });

    const createView = (id: string): MemberView => {
        const own = views.get(id)!;
        return {
            self: () => own.get(id)!,
            members: () => [...own.values()],
            liveInRegion: region =>
                [...own.values()]
                    .filter(m => m.region === region)
                    .filter(m => m.status === MemberStatus.Live || m.status === MemberStatus.Suspect)
                    .sort((a, b) => (a.id < b.id ? -1 : 1)),
            find: other => own.get(other),
            onChange: listener => {
                listeners.get(id)!.add(listener);
                return () => listeners.get(id)!.delete(listener);
            },
        };
    };

    const notify = (id: string) => runAs(id, () => listeners.get(id)!.forEach(listener => listener()));

    const setStatus = (viewer: string, id: string, status: MemberStatus) => {
        const row = views.get(viewer)?.get(id);
        if (row) {
            row.status = status;
            notify(viewer);
        }
    };

    const afterPropagation = (callback: () => void) => {
        if (faults.propagationDelayMs === 0) {
            callback();
        } else {
            clock.setTimer(faults.propagationDelayMs, callback);
        }
    };

    const rejoin = (id: string) => {
        for (const viewer of views.keys()) {
            const row = views.get(viewer)!.get(id);
            if (row) {
                row.incarnation++;
                row.status = MemberStatus.Live;
            }
        }
        for (const row of views.get(id)!.values()) {
            row.status = entries.get(row.id)!.isCrashed ? MemberStatus.Dead : MemberStatus.Live;
        }
        views.forEach((_, viewer) => notify(viewer));
    };

    const start = (id: string) => {
        const known = [...views.keys()];
        views.set(id, new Map([...known, id].map(other => [other, createMember(other)])));
        listeners.set(id, new Set());
        deferred.set(id, []);
        for (const other of known) {
            if (entries.get(other)!.isCrashed) {
                views.get(id)!.get(other)!.status = MemberStatus.Dead;
            }
        }
        const methods = new Map<string, RpcHandler>();
        const view = createView(id);
        const shared = {
            view,
            transport: createTransport(id),
            rpc: { addMethod: (name: string, handler: RpcHandler) => void methods.set(name, handler) },
            clock: createEntryClock(id),
            logger: createSilentLogger(),
        };
        const entry: FakeEntry = {
            id,
            view,
            methods,
            isCrashed: false,
            isPaused: false,
            isIsolated: false,
            broker: createSlotBroker({ ...shared, servers: () => servers, random, cfg: options.cfg }),
            shaper: createLinkShaper({ ...shared, links: () => options.links ?? [], cfg: options.linkCfg }),
        };
        entries.set(id, entry);
        afterPropagation(() => {
            for (const other of known) {
                views.get(other)!.set(id, createMember(id));
                notify(other);
            }
        });
        return entry;
    };

    const occupy = ({ server }: Slot) => {
        const count = (inFlight.get(server.id) ?? 0) + 1;
        inFlight.set(server.id, count);
        const excess = count - server.slots;
        if (excess > 0) {
            largestExcess = Math.max(largestExcess, excess);
            lastExcessAt = clock.now();
        }
        return () => void inFlight.set(server.id, inFlight.get(server.id)! - 1);
    };

    for (let index = 0; index < (options.entries ?? 3); index++) {
        start(`e${index}`);
    }

    return {
        get entries() {
            return [...entries.values()];
        },
        servers,
        faults,
        totals,
        entry: id => entries.get(id)!,
        start,
        crash: id => {
            entries.get(id)!.isCrashed = true;
        },
        pause: id => {
            entries.get(id)!.isPaused = true;
        },
        resume: id => {
            entries.get(id)!.isPaused = false;
            deferred
                .get(id)!
                .splice(0)
                .forEach(callback => callback());
            afterPropagation(() => rejoin(id));
        },
        isolate: id => {
            entries.get(id)!.isIsolated = true;
        },
        heal: id => {
            entries.get(id)!.isIsolated = false;
            afterPropagation(() => rejoin(id));
        },
        setStatus,
        setStatusForAll: (id, status) => [...views.keys()].forEach(viewer => setStatus(viewer, id, status)),
        run: async (id, serviceMs, req = {}) => {
            const arrivedAt = clock.now();
            const full = {
                service,
                requestClass: "lookup",
                deadlineAt: arrivedAt + 400,
                suspect: false,
                avoid: noServers,
            };
            let slot: Slot;
            try {
                slot = await entries.get(id)!.broker.acquire({ ...full, ...req } as SlotRequest);
            } catch (err) {
                totals.refused++;
                throw err;
            }
            const waitedMs = clock.now() - arrivedAt;
            const finish = occupy(slot);
            await clock.sleep(serviceMs);
            finish();
            runAs(id, () => slot.release(SlotResult.Completed));
            totals.completed++;
            return { waitedMs, server: slot.server.id };
        },
        occupy,
        wantsInFlight: getWantsInFlight,
        inFlight: id => inFlight.get(id) ?? 0,
        takeLargestExcess: () => {
            const value = largestExcess;
            largestExcess = 0;
            return value;
        },
        lastExcessAt: () => lastExcessAt,
    };
}

/** Sends Poisson traffic for `ms`, with an average of `perSecond` requests at each entry. */
export async function offerLoad(
    region: FakeRegion,
    clock: ManualClock,
    random: Random,
    {
        ms,
        perSecond,
        ids,
        req,
    }: { ms: number; perSecond: number; ids?: string[]; req?: Partial<SlotRequest> },
): Promise<{ waits: number[] }> {
    const waits: number[] = [];
    for (const { id } of region.entries) {
        if (ids && !ids.includes(id)) {
            continue;
        }
        let at = 0;
        for (;;) {
            at += (-Math.log(1 - random()) * 1000) / perSecond;
            if (at > ms) {
                break;
            }
            clock.setTimer(at, () => {
                const entry = region.entry(id);
                if (entry.isCrashed || entry.isPaused) {
                    return;
                }
                const serviceMs = Math.min(200, -Math.log(1 - random()) * 20);
                region.run(id, serviceMs, req).then(
                    ({ waitedMs }) => waits.push(waitedMs),
                    () => undefined,
                );
            });
        }
    }
    await clock.advance(ms);
    return { waits };
}
