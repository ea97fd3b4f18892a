/** Simulates a fleet on a manual clock and an in-memory network, with latency, loss, partitions, pauses and crashes. */
import {
    MemberStatus,
    PeerRejectedError,
    PeerTimeoutError,
    PeerUnreachableError,
    createLogger,
    createManualClock,
    createRandom,
} from "@waxwingdale/core";
import type { Clock, ManualClock, Member, PeerTransport, RpcHandler } from "@waxwingdale/core";
import { createMembership } from "@waxwingdale/membership";
import type { Membership, Witness } from "@waxwingdale/membership";

export interface FakeEntry {
    member: Member;
    membership: Membership;
    methods: Map<string, RpcHandler>;
    log: string[];
    /** Ends the process. Its address refuses connections, or does not respond if `isUnresponsive` is true. */
    crash(isUnresponsive?: boolean): void;
    pause(): void;
    resume(): void;
}

export interface EntryOptions {
    incarnation?: number;
    address?: string;
    findSeeds?: () => Promise<string[]>;
}

export interface Fleet {
    clock: ManualClock;
    entries: FakeEntry[];
    /** Whether messages from one member reach another. */
    canReach: (from: Member, to: Member) => boolean;
    /** Whether calls between members that cannot reach each other are refused instead of getting no response. */
    refusesCutCalls: boolean;
    /** Whether a member reaches the witness, if the fleet has one. */
    canReachWitness: (member: Member) => boolean;
    /** Number of calls to the witness. */
    witnessCalls: number;
    lossRate: number;
    /** Message bytes sent and received, by member id. */
    bytes: Map<string, number>;
    add(id: string, region: string, options?: EntryOptions): FakeEntry;
    /** Advances the clock in steps until the condition holds. Returns the elapsed milliseconds. */
    advanceUntil(condition: () => boolean, limitMs: number): Promise<number>;
    /** Advances the clock until a promise settles. */
    waitFor(task: Promise<unknown>): Promise<void>;
    /** Whether all given members see each other as live. */
    isConverged(entries?: FakeEntry[]): boolean;
}

export function makeMember(id: string, change: Partial<Member> = {}): Member {
    return {
        id,
        incarnation: 1,
        session: 1,
        status: MemberStatus.Live,
        region: "north",
        zone: "north-a",
        callerAddress: `${id}.test:80`,
        peerAddress: `${id}.test:81`,
        ready: true,
        ...change,
    };
}

/** Clock of one process. While the process is paused, no timers run. Overdue timers run when it resumes. */
function createProcessClock(clock: ManualClock) {
    let isPaused = false;
    let due: (() => void)[] = [];
    const setTimer = (delayMs: number, callback: () => void) => {
        let isCancelled = false;
        const run = () => (isCancelled ? undefined : callback());
        const timer = clock.setTimer(delayMs, () => (isPaused ? void due.push(run) : run()));
        return {
            cancel: () => {
                isCancelled = true;
                timer.cancel();
            },
        };
    };
    const processClock: Clock = {
        now: () => clock.now(),
        wallTime: () => clock.wallTime(),
        setTimer,
        sleep: (delayMs, signal) =>
            new Promise(resolve => {
                const finish = () => {
                    timer.cancel();
                    signal?.removeEventListener("abort", finish);
                    resolve();
                };
                const timer = setTimer(delayMs, finish);
                signal?.addEventListener("abort", finish);
            }),
    };
    return {
        processClock,
        isPaused: () => isPaused,
        pause: () => void (isPaused = true),
        resume: () => {
            isPaused = false;
            const callbacks = due;
            due = [];
            callbacks.forEach(callback => callback());
        },
        whenRunning: (callback: () => void) => (isPaused ? void due.push(callback) : callback()),
    };
}

const delayMs = 20;

export function createFleet(seed = 1, hasWitness = false): Fleet {
    const clock = createManualClock(1000);
    const random = createRandom(seed);
    const hosts = new Map<string, { entry: FakeEntry; state: ReturnType<typeof createProcessClock> }>();
    const unresponsiveHosts = new Set<string>();
    const bytes = new Map<string, number>();
    const count = (id: string, size: number) => bytes.set(id, (bytes.get(id) ?? 0) + size);

    /** Missing members, with their incarnations, by the member that reported them. */
    const reports = new Map<string, Map<string, number>>();
    const witnessDelayMs = 10;

    const createWitness = (self: Member): Witness => {
        const reportsOf = (id: string) => reports.get(id) ?? new Map<string, number>();
        const change = async (update: (own: Map<string, number>) => void) => {
            await clock.sleep(witnessDelayMs);
            const own = new Map(reportsOf(self.id));
            update(own);
            const isSame = JSON.stringify([...own]) === JSON.stringify([...reportsOf(self.id)]);
            if (!isSame && fleet.canReachWitness(self)) {
                fleet.witnessCalls += 1;
                reports.set(self.id, own);
            }
        };
        return {
            reportMissing: members =>
                void change(own => members.forEach(({ id, incarnation }) => own.set(id, incarnation))),
            withdrawReports: () => void change(own => own.clear()),
            isMissed: async incarnation => {
                await clock.sleep(witnessDelayMs);
                fleet.witnessCalls += 1;
                if (!fleet.canReachWitness(self)) {
                    throw new Error("the witness does not respond");
                }
                return [...reports].some(
                    ([id, missing]) => id !== self.id && (missing.get(self.id) ?? -1) >= incarnation,
                );
            },
        };
    };

    const createTransport = (self: Member, state: ReturnType<typeof createProcessClock>): PeerTransport => ({
        call: <Result>(peerAddress: string, method: string, params: unknown, timeoutMs: number) =>
            new Promise<Result>((resolve, reject) => {
                const text = JSON.stringify(params);
                count(self.id, text.length);
                const timeout = state.processClock.setTimer(timeoutMs, () =>
                    reject(new PeerTimeoutError(`no response from ${peerAddress}`)),
                );
                const finish = (settle: () => void) => {
                    timeout.cancel();
                    settle();
                };
                const deliver = () => {
                    const host = hosts.get(peerAddress);
                    const isCut = host !== undefined && !fleet.canReach(self, host.entry.member);
                    const isSilent = unresponsiveHosts.has(peerAddress) || random() < fleet.lossRate;
                    if (isSilent || (isCut && !fleet.refusesCutCalls)) {
                        return;
                    }
                    if (host === undefined || isCut) {
                        const cause = Object.assign(new Error("refused"), { code: "ECONNREFUSED" });
                        finish(() => reject(new PeerUnreachableError(`${peerAddress} refused`, { cause })));
                        return;
                    }
                    count(host.entry.member.id, text.length);
                    host.state.whenRunning(() => void respond(host.entry));
                };
                const respond = async (entry: FakeEntry) => {
                    let settle: () => void;
                    try {
                        const result = await entry.methods.get(method)!(JSON.parse(text), self.id);
                        const reply = JSON.stringify(result);
                        count(entry.member.id, reply.length);
                        count(self.id, reply.length);
                        settle = () => resolve(JSON.parse(reply) as Result);
                    } catch (err) {
                        settle = () => reject(new PeerRejectedError(String(err), -32000));
                    }
                    clock.setTimer(delayMs, () => {
                        if (fleet.canReach(entry.member, self) && random() >= fleet.lossRate) {
                            state.whenRunning(() => finish(settle));
                        }
                    });
                };
                clock.setTimer(delayMs, deliver);
            }),
    });

    const fleet: Fleet = {
        clock,
        entries: [],
        canReach: () => true,
        refusesCutCalls: false,
        canReachWitness: () => true,
        witnessCalls: 0,
        lossRate: 0,
        bytes,
        add: (id, region, options = {}) => {
            const member = makeMember(id, {
                region,
                zone: `${region}-a`,
                incarnation: options.incarnation ?? 1,
                peerAddress: options.address ?? `${id}.test:81`,
            });
            const state = createProcessClock(clock);
            const methods = new Map<string, RpcHandler>();
            const log: string[] = [];
            const abort = new AbortController();
            const membership = createMembership({
                self: member,
                transport: createTransport(member, state),
                rpc: { addMethod: (name, handler) => void methods.set(name, handler) },
                clock: state.processClock,
                random: createRandom(seed * 1000 + hosts.size),
                logger: createLogger(clock, { write: line => void log.push(line) }),
                findSeeds:
                    options.findSeeds ?? (async () => fleet.entries.map(entry => entry.member.peerAddress)),
                ...(hasWitness && { witness: createWitness(member) }),
            });
            const entry: FakeEntry = {
                member,
                membership,
                methods,
                log,
                crash: isUnresponsive => {
                    abort.abort();
                    state.pause();
                    hosts.delete(member.peerAddress);
                    fleet.entries = fleet.entries.filter(other => other !== entry);
                    if (isUnresponsive === true) {
                        unresponsiveHosts.add(member.peerAddress);
                    }
                },
                pause: state.pause,
                resume: state.resume,
            };
            unresponsiveHosts.delete(member.peerAddress);
            hosts.set(member.peerAddress, { entry, state });
            fleet.entries.push(entry);
            void membership.run(abort.signal);
            return entry;
        },
        advanceUntil: async (condition, limitMs) => {
            const start = clock.now();
            while (!condition()) {
                if (clock.now() - start >= limitMs) {
                    throw new Error(`condition not met within ${limitMs} ms`);
                }
                await clock.advance(100);
            }
            return clock.now() - start;
        },
        waitFor: async task => {
            let isSettled = false;
            void task.finally(() => (isSettled = true));
            await fleet.advanceUntil(() => isSettled, 10_000);
        },
        isConverged: (entries = fleet.entries) =>
            entries.every(one =>
                entries.every(other => one.membership.find(other.member.id)?.status === MemberStatus.Live),
            ),
    };
    return fleet;
}

/** Starts nine members in three regions simultaneously, and waits until their views converge. */
export async function startNineMembers(seed = 1): Promise<Fleet> {
    const fleet = createFleet(seed);
    for (const region of ["north", "central", "south"]) {
        for (const number of [1, 2, 3]) {
            fleet.add(`${region}-${number}`, region);
        }
    }
    await fleet.advanceUntil(() => fleet.isConverged(), 10_000);
    return fleet;
}

/** Returns how many of the given members see a member with the given status. */
export function countMembersSeeing(entries: FakeEntry[], id: string, status: MemberStatus): number {
    return entries.filter(entry => entry.membership.find(id)?.status === status).length;
}
