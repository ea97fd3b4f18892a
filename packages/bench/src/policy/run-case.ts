/** Runs and measures one case with one policy and one seed. */
import { classesByImportance, createManualClock, createRandom } from "@waxwingdale/core";
import type { RequestClass } from "@waxwingdale/core";
import { build } from "hdr-histogram-js";
import type { Policy, SimContext } from "./policy.js";
import { createLoad, createSimServer, meanServiceMs } from "./simulation.js";
import type { SimServer, Topology } from "./simulation.js";

export interface PolicyCase {
    name: string;
    /** Offered load as a fraction of the region's capacity. */
    load: number;
    reportDelayMs: number;
    /** Fraction of the traffic that arrives at the first entry; by default the traffic is distributed evenly. */
    firstEntryShare?: number;
    /** Service time multiplier, by server index. */
    slowdown?: (index: number) => number;
    /** Service time multiplier of all servers until the middle of the measurement, to simulate cold caches. */
    coldSlowdown?: number;
    /** Whether the first server starts to drain in the middle of the measurement. */
    drains?: boolean;
}

export interface ClassFigures {
    p50: number;
    p99: number;
    p999: number;
    meanWait: number;
}

export interface CaseFigures {
    byClass: Record<RequestClass, ClassFigures>;
    meanWait: number;
    /** Requests completed before their deadline, as a fraction of the capacity of the servers. */
    goodput: number;
    refused: number;
    /** Time from the start of the drain until the server was idle. */
    drainMs: number;
    /** Minimum number of free slots in the region at the arrival of a request. */
    headroom: number;
    overLimit: number;
}

/** Start of the load for all policies: the takeover delay of the broker plus a margin. */
const startMs = 5500;
/** Duration of the load before the measurement. */
const warmUpMs = 2000;
const measureMs = 20_000;
/** Time for the last requests to complete. */
const coolDownMs = 6000;

const getCapacity = (servers: readonly SimServer[]) =>
    servers.reduce((sum, { slots, slowdown }) => sum + (slots * 1000) / (meanServiceMs * slowdown), 0);

const createLatencies = () =>
    build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 120_000_000,
        numberOfSignificantValueDigits: 3,
    });

export async function runCase(
    topology: Topology,
    spec: PolicyCase,
    seed: number,
    createPolicy: (ctx: SimContext) => Policy,
): Promise<CaseFigures> {
    const clock = createManualClock();
    const random = createRandom(seed);
    const servers = Array.from({ length: topology.servers }, (_, index) =>
        createSimServer(clock, `server-${index}`, topology.slots, spec.reportDelayMs),
    );
    servers.forEach((server, index) => (server.slowdown = spec.slowdown?.(index) ?? spec.coldSlowdown ?? 1));
    const capacity = getCapacity(servers);
    const load = createLoad(random, {
        perSecond: capacity * spec.load,
        startMs,
        durationMs: warmUpMs + measureMs,
        entries: topology.entries,
        firstEntryShare: spec.firstEntryShare ?? 1 / topology.entries,
    });
    const policy = createPolicy({ clock, random: createRandom(seed + 7919), topology, servers });
    const measurementStart = startMs + warmUpMs;
    const midpoint = measurementStart + measureMs / 2;
    const latencies = new Map(classesByImportance.map(name => [name, createLatencies()]));
    const waits = new Map(classesByImportance.map(name => [name, { sum: 0, count: 0 }]));
    let inTime = 0;
    let refused = 0;
    let headroom = Infinity;

    const schedule = (index: number) => {
        const req = load[index];
        if (!req) {
            return;
        }
        clock.setTimer(req.at - clock.now(), () => {
            schedule(index + 1);
            const isMeasured = req.at >= measurementStart;
            policy.submit(req, ({ requestClass, latencyMs, waitMs, isInTime }) => {
                if (!isMeasured) {
                    return;
                }
                if (latencyMs === undefined) {
                    refused++;
                    return;
                }
                inTime += isInTime ? 1 : 0;
                latencies.get(requestClass)!.recordValue(Math.max(1, Math.round(latencyMs * 1000)));
                const wait = waits.get(requestClass)!;
                wait.sum += waitMs!;
                wait.count++;
            });
            if (isMeasured) {
                const free = servers.reduce(
                    (sum, server) => sum + Math.max(0, server.slots - server.outstanding()),
                    0,
                );
                headroom = Math.min(headroom, free);
            }
        });
    };
    schedule(0);

    if (spec.drains || spec.coldSlowdown) {
        clock.setTimer(midpoint, () => {
            if (spec.drains) {
                servers[0]!.draining = true;
                policy.onServersChanged();
            } else {
                servers.forEach(server => (server.slowdown = 1));
            }
        });
    }
    await clock.advance(measurementStart + measureMs + coolDownMs);

    const getFigures = (name: RequestClass): ClassFigures => {
        const histogram = latencies.get(name)!;
        const { sum, count } = waits.get(name)!;
        const ms = (percentile: number) => histogram.getValueAtPercentile(percentile) / 1000;
        return { p50: ms(50), p99: ms(99), p999: ms(99.9), meanWait: count === 0 ? 0 : sum / count };
    };
    const totals = [...waits.values()].reduce(
        (all, { sum, count }) => ({ sum: all.sum + sum, count: all.count + count }),
        { sum: 0, count: 0 },
    );
    return {
        byClass: Object.fromEntries(
            classesByImportance.map(name => [name, getFigures(name)]),
        ) as CaseFigures["byClass"],
        meanWait: totals.sum / Math.max(1, totals.count),
        goodput: inTime / ((capacity * measureMs) / 1000),
        refused,
        drainMs: spec.drains ? Math.max(0, servers[0]!.lastBusyAt() - midpoint) : 0,
        headroom,
        overLimit: servers.reduce((sum, server) => sum + server.countOverLimit(), 0),
    };
}
