/** Cases of the carry benchmark. Each measures the entry and the direct path one right after the other. */
import type { Histogram } from "hdr-histogram-js";
import type { BenchFleet } from "./bench-fleet.js";
import type { Drivers, LoadResult } from "./drivers.js";
import type { DriverJob } from "./run-job.js";

export interface CaseContext {
    fleet: BenchFleet;
    drivers: Drivers;
    seed: number;
}

export type Measurements = Record<string, number>;

export interface Check {
    measure: string;
    target: string;
    /** Left out for a figure without a target. */
    isMet?: (median: number) => boolean;
}

export interface CarryCase {
    name: string;
    warmUp(ctx: CaseContext): Promise<void>;
    measure(ctx: CaseContext): Promise<Measurements>;
    checks: Check[];
}

/** Time in milliseconds of one measurement. */
const measureMs = 2000;
const warmUpMs = 2000;
const saturatingConnections = 64;
/** Connections of the half load; more than are ever busy at once, since a request takes a few milliseconds. */
const pacedConnections = 128;
/** Service time in milliseconds at half load; it is the same for both paths. */
const workMs = 2;
const bulkCallers = 20;
const bulkBytes = 100_000_000;
const bulkDeadlineMs = 60_000;
/** Time in milliseconds between two readings of the entry's memory. */
const memoryIntervalMs = 200;

const readPath = "/detectors/7";
const carriedPath = `/register${readPath}`;
const lookupPath = "/v1/lookup?service=register&client=10.0.0.1";

interface Measured extends LoadResult {
    cpuSeconds: number;
    requestsPerCore: number;
}

async function measureLoad(
    ctx: CaseContext,
    readCpuSeconds: () => Promise<number>,
    job: Omit<DriverJob, "seed">,
): Promise<Measured> {
    const before = await readCpuSeconds();
    const result = await ctx.drivers.run({ ...job, seed: ctx.seed });
    const cpuSeconds = (await readCpuSeconds()) - before;
    if (result.failures > 0) {
        throw new Error(`${result.failures} of ${result.requests} requests of ${job.path} failed`);
    }
    return { ...result, cpuSeconds, requestsPerCore: result.requests / cpuSeconds };
}

function measureDirect(ctx: CaseContext, job: Omit<DriverJob, "seed" | "addresses">): Promise<Measured> {
    const { fleet } = ctx;
    return measureLoad(ctx, () => fleet.readBackendCpuSeconds(), { ...job, addresses: fleet.backends });
}

function measureEntry(ctx: CaseContext, job: Omit<DriverJob, "seed" | "addresses">): Promise<Measured> {
    const { fleet } = ctx;
    const readCpuSeconds = async () => (await fleet.readEntryUsage()).cpuSeconds;
    return measureLoad(ctx, readCpuSeconds, { ...job, addresses: [fleet.entry] });
}

const saturating = { connections: saturatingConnections, durationMs: measureMs };

const saturated: CarryCase = {
    name: "saturated",
    warmUp: async ctx => {
        await measureDirect(ctx, { ...saturating, path: readPath, durationMs: warmUpMs });
        await measureEntry(ctx, { ...saturating, path: carriedPath, durationMs: warmUpMs });
    },
    measure: async ctx => {
        const direct = await measureDirect(ctx, { ...saturating, path: readPath });
        const carried = await measureEntry(ctx, { ...saturating, path: carriedPath });
        return {
            "direct requests/s": direct.requestsPerSecond,
            "carried requests/s": carried.requestsPerSecond,
            "direct requests/s per server core": direct.requestsPerCore,
            "carried requests/s per entry core": carried.requestsPerCore,
            "per core, carried / direct": carried.requestsPerCore / direct.requestsPerCore,
            "direct p99 ms": getMs(direct.histogram, 99),
            "carried p99 ms": getMs(carried.histogram, 99),
        };
    },
    checks: [
        { measure: "direct requests/s per server core", target: "" },
        { measure: "carried requests/s per entry core", target: "" },
        { measure: "per core, carried / direct", target: ">= 0.4", isMet: value => value >= 0.4 },
    ],
};

/** Half of what the entry carries at saturation; found once, so that every round has the same rate. */
let halfRate = 0;

const halfLoad: CarryCase = {
    name: "half-load",
    warmUp: async ctx => {
        // A cold entry carries so little that its half would be no load at all.
        await saturated.warmUp(ctx);
        const carried = await measureEntry(ctx, { ...saturating, path: carriedPath });
        halfRate = carried.requestsPerSecond / 2;
        const job = { connections: pacedConnections, durationMs: warmUpMs, rate: halfRate };
        await measureDirect(ctx, { ...job, path: `${readPath}?workMs=${workMs}` });
    },
    measure: async ctx => {
        const job = { connections: pacedConnections, durationMs: measureMs, rate: halfRate };
        const direct = await measureDirect(ctx, { ...job, path: `${readPath}?workMs=${workMs}` });
        const carried = await measureEntry(ctx, { ...job, path: `${carriedPath}?workMs=${workMs}` });
        const p50 = [direct, carried].map(({ histogram }) => getMs(histogram, 50));
        const p99 = [direct, carried].map(({ histogram }) => getMs(histogram, 99));
        return {
            "requests/s": halfRate,
            "direct p50 ms": p50[0]!,
            "direct p99 ms": p99[0]!,
            "added p50 ms": p50[1]! - p50[0]!,
            "added p99 ms": p99[1]! - p99[0]!,
            "p50, carried / direct": p50[1]! / p50[0]!,
        };
    },
    checks: [
        { measure: "added p50 ms", target: "< 0.5", isMet: value => value < 0.5 },
        { measure: "added p99 ms", target: "< 2", isMet: value => value < 2 },
        { measure: "p50, carried / direct", target: "" },
    ],
};

const lookup: CarryCase = {
    name: "lookup",
    warmUp: async ctx => void (await measureEntry(ctx, { ...saturating, path: lookupPath })),
    measure: async ctx => {
        const found = await measureEntry(ctx, { ...saturating, path: lookupPath });
        return {
            "look-ups/s": found.requestsPerSecond,
            "look-ups/s per entry core": found.requestsPerCore,
        };
    },
    checks: [{ measure: "look-ups/s per entry core", target: ">= 15000", isMet: value => value >= 15_000 }],
};

const bulk: CarryCase = {
    name: "bulk",
    warmUp: async () => undefined,
    measure: async ctx => {
        const path = `/files/1?bytes=${bulkBytes}`;
        const job = { connections: bulkCallers, requestsPerConnection: 1, durationMs: bulkDeadlineMs };
        const direct = await measureDirect(ctx, { ...job, path });
        const before = await ctx.fleet.readEntryUsage();
        const peak = watchMemory(ctx.fleet);
        const carried = await measureEntry(ctx, { ...job, path: `/register${path}` });
        const peakBytes = await peak.stop();
        return {
            "direct MB/s": direct.bytesPerSecond / 1e6,
            "carried MB/s": carried.bytesPerSecond / 1e6,
            "throughput, carried / direct": carried.bytesPerSecond / direct.bytesPerSecond,
            "peak memory MB": peakBytes / 1e6,
            "memory growth MB": Math.max(0, peakBytes - before.memoryBytes) / 1e6,
        };
    },
    checks: [
        { measure: "throughput, carried / direct", target: "" },
        { measure: "peak memory MB", target: "< 256", isMet: value => value < 256 },
        { measure: "memory growth MB", target: "" },
    ],
};

/** Reads the entry's memory until stopped. */
function watchMemory(fleet: BenchFleet): { stop(): Promise<number> } {
    let peak = 0;
    let isStopped = false;
    const loop = async () => {
        while (!isStopped) {
            peak = Math.max(peak, (await fleet.readEntryUsage()).memoryBytes);
            await new Promise(resolve => setTimeout(resolve, memoryIntervalMs));
        }
        return peak;
    };
    const done = loop();
    return {
        stop: () => {
            isStopped = true;
            return done;
        },
    };
}

function getMs(histogram: Histogram, percentile: number): number {
    return histogram.getValueAtPercentile(percentile) / 1000;
}

export const cases: readonly CarryCase[] = [saturated, halfLoad, lookup, bulk];
