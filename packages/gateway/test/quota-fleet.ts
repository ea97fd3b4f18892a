/** Instances with quotas in memory: a manual clock, delayed and lost messages, and views that change by and by. */
import { QuotaVerdict } from "@waxwingdale/balancing";
import type { QuotaBounds, Workspace } from "@waxwingdale/balancing";
import { createManualClock, createRandom, createSilentLogger } from "@waxwingdale/core";
import type { Member, MemberView, RpcHandler } from "@waxwingdale/core";
import { createInstanceCounts } from "../src/instance-counts.js";
import { createInstanceTopology } from "../src/instance-topology.js";
import { createQuotaExchange, takeoverMs } from "../src/quota-exchange.js";
import type { QuotaExchange } from "../src/quota-exchange.js";
import { createMember } from "./fixtures.js";

export const declaredQuotaBounds: QuotaBounds = { windowMs: 5000, overage: 0.1, slack: 20 };

export interface QuotaFleetOptions {
    instances: number;
    seed: number;
    workspaces: readonly Workspace[];
    bounds?: QuotaBounds;
    /** One-way delay between instances in milliseconds. */
    delayMs?: (from: number, to: number) => number;
    /** Fraction of lost messages. */
    lossRate?: number;
}

export interface SentRequest {
    at: number;
    workspace: string;
    verdict: QuotaVerdict;
    retryAfterMs: number;
    waitedMs: number;
}

interface Process {
    exchange: QuotaExchange;
    receive: RpcHandler;
    controller: AbortController;
    members: readonly Member[];
}

const stepMs = 10;
const callTimeoutMs = 300;
/** Differences between the views of instances. They are below the time for which a new owner waits. */
const maxSkewMs = 1500;

export function createWorkspace(
    name: string,
    requestsPerSecond: number,
    burst = requestsPerSecond,
): Workspace {
    return { name, apiKeys: [], priority: 0, requestsPerSecond, burst, allowedRegions: [] };
}

export function createQuotaFleet(options: QuotaFleetOptions) {
    const clock = createManualClock();
    const random = createRandom(options.seed);
    const ids = Array.from({ length: options.instances }, (_, index) => `g-${index}`);
    const processes = new Map<string, Process>();
    const groups = new Map<string, number>();
    const requests: SentRequest[] = [];
    let session = 0;
    let { workspaces } = options;

    const toMember = (id: string) => createMember(id, `z-${id}`, "north");
    const canReach = (from: string, to: string) =>
        processes.has(from) && processes.has(to) && groups.get(from) === groups.get(to);

    const transmit = async (from: string, to: string) => {
        await clock.sleep(options.delayMs?.(ids.indexOf(from), ids.indexOf(to)) ?? 1);
        if (!canReach(from, to) || random() < (options.lossRate ?? 0)) {
            throw new Error("lost");
        }
    };

    const call = async (from: string, address: string, params: unknown) => {
        const to = address.split(":")[0]!;
        await transmit(from, to);
        const reply = await processes.get(to)!.receive(params, from);
        await transmit(to, from);
        return reply;
    };

    const withTimeout = <Result>(result: Promise<unknown>) =>
        Promise.race([
            result.catch(async err => {
                await clock.sleep(callTimeoutMs);
                throw err;
            }),
            clock.sleep(callTimeoutMs).then(() => Promise.reject(new Error("timeout"))),
        ]) as Promise<Result>;

    const setView = (id: string, visible: readonly string[]) => {
        const process = processes.get(id);
        if (process !== undefined) {
            process.members = visible.map(toMember);
        }
    };

    /** Updates the views of all instances within the skew. */
    const updateViews = (afterMs: number) => {
        for (const id of ids) {
            clock.setTimer(afterMs + random() * maxSkewMs, () =>
                setView(
                    id,
                    ids.filter(other => other === id || canReach(id, other)),
                ),
            );
        }
    };

    const start = (id: string, visible: readonly string[]) => {
        const controller = new AbortController();
        const process: Process = {
            controller,
            members: visible.map(toMember),
            receive: () => undefined,
            exchange: undefined as unknown as QuotaExchange,
        };
        processes.set(id, process);
        const view = {
            self: () => ({ ...toMember(id), session: ++session }),
            members: () => process.members,
            find: (other: string) => process.members.find(member => member.id === other),
        } as unknown as MemberView;
        const topology = createInstanceTopology({ selfId: id, members: () => process.members });
        process.exchange = createQuotaExchange({
            members: () => view,
            topology,
            counts: createInstanceCounts({
                clock,
                topology,
                members: () => view,
                seeds: () => ids.map(other => toMember(other).peerAddress),
                riseDelayMs: takeoverMs,
            }),
            isJoined: () => process.members.length > 1 || options.instances === 1,
            bounds: () => options.bounds ?? declaredQuotaBounds,
            transport: {
                call: <Result>(address: string, _method: string, params: unknown) =>
                    withTimeout<Result>(call(id, address, params)),
            },
            rpc: { addMethod: (_name, handler) => void (process.receive = handler) },
            clock,
            logger: createSilentLogger(),
        });
        process.exchange.setWorkspaces(workspaces);
        process.exchange.run(controller.signal);
    };

    const kill = (id: string) => {
        processes.get(id)?.controller.abort();
        processes.delete(id);
    };

    const send = (id: string, workspace: Workspace) => {
        const process = processes.get(id);
        const sentAt = clock.now();
        process?.exchange.acquire(workspace, ({ verdict, retryAfterMs }) => {
            if (processes.get(id) === process) {
                const at = clock.now();
                requests.push({
                    at,
                    workspace: workspace.name,
                    verdict,
                    retryAfterMs,
                    waitedMs: at - sentAt,
                });
            }
        });
    };

    ids.forEach(id => start(id, ids));
    return {
        clock,
        ids,
        random,
        requests,
        send: (index: number, workspace: Workspace) => send(ids[index]!, workspace),
        exchanges: () => [...processes.values()].map(({ exchange }) => exchange),
        kill: (id: string) => {
            kill(id);
            updateViews(1000);
        },
        restart: (id: string) => {
            if (processes.has(id)) {
                return;
            }
            start(id, [id]);
            updateViews(0);
        },
        /** Separates the instances into groups that do not reach each other; one group heals a partition. */
        partition: (groupOf: (index: number) => number) => {
            ids.forEach((id, index) => groups.set(id, groupOf(index)));
            updateViews(3000);
        },
        setWorkspaces: (list: readonly Workspace[]) => {
            workspaces = list;
            processes.forEach(({ exchange }) => exchange.setWorkspaces(list));
        },
        /** Sends requests at random times, with the given rate for each instance and workspace. */
        run: async (
            durationMs: number,
            requestsPerSecond: (index: number, workspace: Workspace) => number,
        ) => {
            for (let time = 0; time < durationMs; time += stepMs) {
                for (const [index, id] of ids.entries()) {
                    for (const workspace of workspaces) {
                        const expected = (requestsPerSecond(index, workspace) * stepMs) / 1000;
                        const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
                        Array.from({ length: count }).forEach(() => send(id, workspace));
                    }
                }
                await clock.advance(stepMs);
            }
        },
    };
}

/** Returns the largest number of admitted requests in any window. */
export function countMostInWindow(requests: readonly SentRequest[], windowMs: number): number {
    const times = requests.filter(({ verdict }) => verdict === QuotaVerdict.Admitted).map(({ at }) => at);
    let first = 0;
    let most = 0;
    times.forEach((at, index) => {
        while (times[first]! <= at - windowMs) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
}
