/** Runs one case with one policy and one seed, and measures it. */
import { classesByImportance, createManualClock, createRandom } from "@waxwingdale/core";
import type { RequestClass } from "@waxwingdale/core";
import { build } from "hdr-histogram-js";
import type { Policy, SimContext } from "./policy.js";
import { createLoad, createSimServer, meanServiceMs } from "./simulation.js";
import type { SimServer, Topology } from "./simulation.js";

export interface PolicyCase {
    name: string;
    /** Offered load as a share of the region's capacity. */
    load: number;
    reportDelayMs: number;
    /** Share of the traffic that arrives at the first entry; equal shares when left out. */
    firstEntryShare?: number;
    /** Time on the server as a multiple of the normal time, by server index. */
    slowness?: (index: number) => number;
    /** All servers have cold caches, with this slowness, until the middle of the measurement. */
    coldSlowness?: number;
    /** The first server starts to drain in the middle of the measurement. */
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
    /** Requests answered in time as a share of what the servers can run. */
    goodput: number;
    refused: number;
    /** Time from the decision to drain until the server was idle. */
    drainMs: number;
    /** Fewest free slots of the region at any arrival. */
    headroom: number;
    overLimit: number;
}

/** The takeover delay of the broker, with a margin; all policies start then. */
const startMs = 5500;
/** Load before the measurement starts. */
const warmUpMs = 2000;
const measureMs = 20_000;
/** Time for the last requests to finish. */
const coolDownMs = 6000;

const capacityOf = (servers: readonly SimServer[]) =>
    servers.reduce((sum, { slots, slowness }) => sum + (slots * 1000) / (meanServiceMs * slowness), 0);

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
    servers.forEach((server, index) => (server.slowness = spec.slowness?.(index) ?? spec.coldSlowness ?? 1));
    const capacity = capacityOf(servers);
    const load = createLoad(random, {
        perSecond: capacity * spec.load,
        startMs,
        durationMs: warmUpMs + measureMs,
        entries: topology.entries,
        firstEntryShare: spec.firstEntryShare ?? 1 / topology.entries,
    });
    const policy = createPolicy({ clock, random: createRandom(seed + 7919), topology, servers });
    const measureFrom = startMs + warmUpMs;
    const middle = measureFrom + measureMs / 2;
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
            const isMeasured = req.at >= measureFrom;
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

    if (spec.drains || spec.coldSlowness) {
        clock.setTimer(middle, () => {
            if (spec.drains) {
                servers[0]!.draining = true;
                policy.onServersChanged();
            } else {
                servers.forEach(server => (server.slowness = 1));
            }
        });
    }
    await clock.advance(measureFrom + measureMs + coolDownMs);

    const figuresOf = (name: RequestClass): ClassFigures => {
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
            classesByImportance.map(name => [name, figuresOf(name)]),
        ) as CaseFigures["byClass"],
        meanWait: totals.sum / Math.max(1, totals.count),
        goodput: inTime / ((capacity * measureMs) / 1000),
        refused,
        drainMs: spec.drains ? Math.max(0, servers[0]!.lastBusyAt() - middle) : 0,
        headroom,
        overLimit: servers.reduce((sum, server) => sum + server.countOverLimit(), 0),
    };
}
