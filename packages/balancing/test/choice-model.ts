/**
 * Compares ways to choose servers when load reports are old and many instances choose at the same moment: one service in
 * one region with two zones, the real balancers of all choosing instances, and plain arithmetic for the servers.
 */
import { ChoiceKind, ServerOutcome, createBalancer } from "@waxwingdale/balancing";
import type { BackendState, Placement, RoutedRequest } from "@waxwingdale/balancing";
import { createManualClock, createRandom } from "@waxwingdale/core";
import { createRoute, createServer, createTable } from "./fixtures.js";

export interface ModelOptions {
    instances: number;
    servers: number;
    slots: number;
    maxQueued: number;
    /** Fraction of the slots that the requests use if 0.8 of them are warm. */
    load: number;
    /** Fraction of the time in which work takes 2.5 times as long. */
    slowShare: number;
    statesWorkTime: boolean;
    /** Undefined for the choice of the balancer. */
    choose?: (servers: readonly BackendState[], now: number, random: () => number) => BackendState;
    /** Requests in flight on a server that an instance may have. */
    maxOwn?: number;
    /** Interval in milliseconds at which an instance passes reports on to 3 others; undefined for never. */
    exchangeMs?: number;
    durationMs?: number;
    seed?: number;
}

const [warmFraction, warmObjects, slowFactor, slowPeriodMs] = [0.3, 20, 2.5, 600];
const [oneWayMs, retryMs, warmUpMs, fanOut] = [1.4, 20, 4000, 3];
const [minColdMs, maxColdMs] = [560, 880];
export const route = createRoute({ timeoutMs: 3500, targetLatencyMs: 900 });
const meanOf = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

export type ModelResult = Awaited<ReturnType<typeof runModel>>;

export async function runModel({ slots, statesWorkTime, exchangeMs, ...options }: ModelOptions) {
    const clock = createManualClock(1000);
    const random = createRandom(options.seed ?? 1);
    const exponential = (mean: number) => -mean * Math.log(1 - random());
    const after = (ms: number, run: () => void) => void clock.setTimer(ms, run);
    const every = (ms: number, run: () => void) => after(ms, () => (run(), every(ms, run)));
    const pickIndex = (count: number) => Math.floor(random() * count);
    const servers = Array.from({ length: options.servers }, () => ({
        ...{ running: 0, factor: 1, queue: [] as (() => void)[], warm: new Set<string>() },
    }));
    const instances = Array.from({ length: options.instances }, (_, index) => {
        const table = createTable(clock, () => [["g-1"]]);
        const service = { name: "files", healthPath: "/", maxConnections: 9, coldStartMs: 0 };
        table.setServices([{ ...service, coldRequestsPerSecond: 99 }]);
        servers.forEach((_server, id) =>
            table.apply(createServer(`i-${id}`, id % 2 ? "n-a" : "n-b", { slots }), false),
        );
        const balancer = createBalancer({
            ...{ clock, table, zone: index % 2 ? "n-a" : "n-b", region: "north", regions: 1 },
            ...{ maxRegionShift: 0.15, countInstances: () => Math.ceil(options.instances / 2) },
        });
        return { table, balancer, heard: new Set<string>() };
    });
    const [waits, times, warm]: number[][] = [[], [], []];
    const [spreads, overloads, excesses]: number[][] = [[], [], []];
    let lost = 0;

    const work = (server: (typeof servers)[number], key: string, onEnd: (isWarm: boolean) => void) => {
        const isWarm = server.warm.delete(key);
        server.warm.add(key);
        if (server.warm.size > warmObjects) {
            server.warm.delete(server.warm.values().next().value!);
        }
        server.running += 1;
        const coldMs = minColdMs + random() * (maxColdMs - minColdMs);
        after(coldMs * (isWarm ? warmFraction : 1) * server.factor, () => {
            server.running -= 1;
            server.queue.shift()?.();
            onEnd(isWarm);
        });
    };

    const request = () => {
        const arrivedAt = clock.now();
        const { table, balancer, heard } = instances[pickIndex(instances.length)]!;
        const objectKey = `${Math.floor(options.servers * 14 * random() ** 1.5)}`;
        const isCounted = arrivedAt > warmUpMs;
        const send = (req: RoutedRequest, placement: Placement) => {
            const { id } = placement.server.record;
            const server = servers[Number(id.slice(2))]!;
            const sentAt = clock.now();
            balancer.start(req, placement);
            const run = () => {
                const waitMs = clock.now() - arrivedAt - oneWayMs;
                work(server, objectKey, isWarm => {
                    const report = { running: server.running, waiting: server.queue.length, slots };
                    const load = statesWorkTime ? { ...report, workTimeFactor: server.factor } : report;
                    after(oneWayMs, () => {
                        const firstByteMs = clock.now() - sentAt;
                        balancer.finish(req, placement, {
                            outcome: ServerOutcome.Success,
                            firstByteMs,
                            load,
                        });
                        heard.add(id);
                        if (isCounted) {
                            waits!.push(waitMs);
                            warm!.push(isWarm ? 1 : 0);
                            times!.push(clock.now() - arrivedAt);
                        }
                    });
                });
            };
            after(oneWayMs, () => {
                if (server.running < slots) {
                    run();
                } else if (server.queue.length < options.maxQueued) {
                    server.queue.push(run);
                } else {
                    balancer.finish(req, placement, { outcome: ServerOutcome.Shed });
                    lost += isCounted ? 1 : 0;
                }
            });
        };
        const attempt = () => {
            const common = { route, service: "files", objectKey, arrivedAt };
            const req = { ...common, deadlineAt: arrivedAt + route.timeoutMs, tried: new Set<string>() };
            const picked = options.choose?.(table.usable("files"), clock.now(), random);
            const choice = picked === undefined ? balancer.choose(req) : createPlacement(picked);
            const canSend = choice.kind === ChoiceKind.Send && choice.hasCapacity;
            if (canSend && choice.server.load.inFlight() < (options.maxOwn ?? Infinity)) {
                send(req, choice);
            } else if (clock.now() - arrivedAt > route.targetLatencyMs * 0.6) {
                lost += isCounted ? 1 : 0;
            } else {
                after(retryMs, attempt);
            }
        };
        attempt();
    };

    const exchange = (sender: (typeof instances)[number]) => {
        const entries = [...sender.heard].map(id => ({
            id,
            ...sender.table.find(id)!.load.latest(clock.now())!,
        }));
        sender.heard.clear();
        const first = pickIndex(instances.length);
        const peers = instances.map((_, index) => instances[(first + index) % instances.length]!);
        for (const { table, heard } of peers.filter(peer => peer !== sender).slice(0, fanOut)) {
            after(oneWayMs, () => {
                const taken = entries.filter(entry => table.find(entry.id)!.load.merge(entry, clock.now()));
                taken.filter(() => instances.length > fanOut + 1).forEach(({ id }) => heard.add(id));
            });
        }
    };

    const sample = () => {
        const used = servers.map(({ running, queue }) => (running + queue.length) / slots);
        const excess = servers.map(({ queue }) => queue.length);
        const isThirdIdle = meanOf(servers.map(({ running }) => running)) < (slots * 2) / 3;
        spreads!.push(Math.sqrt(meanOf(used.map(value => (value - meanOf(used)) ** 2))));
        overloads!.push(isThirdIdle ? excess.filter(count => count >= 2).length / excess.length : 0);
        excesses!.push(isThirdIdle ? Math.max(...excess) : 0);
    };

    const meanWorkMs = ((minColdMs + maxColdMs) / 2) * (0.2 + 0.8 * warmFraction);
    const usedMs = meanWorkMs * (1 + options.slowShare * (slowFactor - 1));
    const arrive = () => (
        request(),
        after(exponential(usedMs / (options.load * slots * servers.length)), arrive)
    );
    arrive();
    every(100, () => instances.forEach(({ balancer }) => balancer.adapt()));
    after(warmUpMs, () => every(50, sample));
    const changeFactor = (server: (typeof servers)[number]) => {
        server.factor = random() < options.slowShare ? slowFactor : 1;
        after(exponential(slowPeriodMs), () => changeFactor(server));
    };
    servers.forEach(changeFactor);
    if (exchangeMs !== undefined) {
        instances.forEach(sender =>
            after(random() * exchangeMs, () => every(exchangeMs, () => exchange(sender))),
        );
    }
    await clock.advance(options.durationMs ?? 16_000);
    return {
        /** Standard deviation of the utilization over the servers, averaged over time. */
        spread: meanOf(spreads!),
        /** Share of servers with 2 or more queued requests, while a third of all slots is idle. */
        overloaded: meanOf(overloads!),
        /** Maximum number of requests beyond the slots of a server, while a third of all slots is idle. */
        maxExcess: Math.max(...excesses!),
        meanWaitMs: meanOf(waits!),
        p99WaitMs: waits!.sort((a, b) => a - b)[Math.floor(waits!.length * 0.99)]!,
        meanMs: meanOf(times!),
        warm: meanOf(warm!),
        /** Share of requests that got no slot in time or were rejected by a full server. */
        lost: lost / (lost + waits!.length),
    };
}

function createPlacement(server: BackendState): Placement {
    const times = { expectedMs: 0, waitMs: 1, workMs: 1, usualWorkMs: 1, workTimeFactor: 1, roundTripMs: 0 };
    return { kind: ChoiceKind.Send, server, isWarm: false, hasCapacity: true, costMs: 0, ...times };
}
