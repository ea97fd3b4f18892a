/** Cases of the carry benchmark. Each measures direct requests and then requests through the entry. */
import type { Histogram } from "hdr-histogram-js";
import type { BenchFleet } from "./bench-fleet.js";
import type { DriverPool, LoadResult } from "./driver-pool.js";
import type { DriverJob } from "./run-job.js";

export interface CaseContext {
    fleet: BenchFleet;
    driverPool: DriverPool;
    seed: number;
}

export type Measurements = Record<string, number>;

export interface Check {
    measure: string;
    target: string;
    /** Omitted for a figure without a target. */
    isMet?: (median: number) => boolean;
}

export interface CarryCase {
    name: string;
    warmUp(ctx: CaseContext): Promise<void>;
    measure(ctx: CaseContext): Promise<Measurements>;
    checks: Check[];
}

/** Duration of one measurement, in milliseconds. */
const measurementMs = 2000;
const warmUpMs = 2000;
const saturatingConnections = 64;
/** Connections at half load, more than are ever busy simultaneously, since a request takes only a few milliseconds. */
const halfLoadConnections = 128;
/** Service time at half load, in milliseconds, for both the direct path and the path through the entry. */
const workMs = 2;
const bulkCallers = 20;
const bulkBytes = 100_000_000;
const bulkDeadlineMs = 60_000;
/** Interval between two samples of the entry's memory usage, in milliseconds. */
const memoryIntervalMs = 200;

const readPath = "/detectors/7";
const forwardedPath = `/register${readPath}`;
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
    const result = await ctx.driverPool.run({ ...job, seed: ctx.seed });
    const cpuSeconds = (await readCpuSeconds()) - before;
    if (result.failures > 0) {
        throw new Error(`${result.failures} of ${result.requests} requests to ${job.path} failed`);
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

const saturatingJob = { connections: saturatingConnections, durationMs: measurementMs };

const saturatedCase: CarryCase = {
    name: "saturated",
    warmUp: async ctx => {
        await measureDirect(ctx, { ...saturatingJob, path: readPath, durationMs: warmUpMs });
        await measureEntry(ctx, { ...saturatingJob, path: forwardedPath, durationMs: warmUpMs });
    },
    measure: async ctx => {
        const direct = await measureDirect(ctx, { ...saturatingJob, path: readPath });
        const forwarded = await measureEntry(ctx, { ...saturatingJob, path: forwardedPath });
        return {
            "direct requests/s": direct.requestsPerSecond,
            "forwarded requests/s": forwarded.requestsPerSecond,
            "direct requests/s per server core": direct.requestsPerCore,
            "forwarded requests/s per entry core": forwarded.requestsPerCore,
            "per core, forwarded / direct": forwarded.requestsPerCore / direct.requestsPerCore,
            "direct p99 ms": getMs(direct.histogram, 99),
            "forwarded p99 ms": getMs(forwarded.histogram, 99),
        };
    },
    checks: [
        { measure: "direct requests/s per server core", target: "" },
        { measure: "forwarded requests/s per entry core", target: "" },
        { measure: "per core, forwarded / direct", target: ">= 0.4", isMet: value => value >= 0.4 },
    ],
};

/** Half of the entry's throughput at saturation, measured once so that every round uses the same rate. */
let halfRate = 0;

const halfLoadCase: CarryCase = {
    name: "half-load",
    warmUp: async ctx => {
        // Without a warm-up, the throughput is so low that half of it would be hardly any load.
        await saturatedCase.warmUp(ctx);
        const forwarded = await measureEntry(ctx, { ...saturatingJob, path: forwardedPath });
        halfRate = forwarded.requestsPerSecond / 2;
        const job = { connections: halfLoadConnections, durationMs: warmUpMs, rate: halfRate };
        await measureDirect(ctx, { ...job, path: `${readPath}?workMs=${workMs}` });
    },
    measure: async ctx => {
        const job = { connections: halfLoadConnections, durationMs: measurementMs, rate: halfRate };
        const direct = await measureDirect(ctx, { ...job, path: `${readPath}?workMs=${workMs}` });
        const forwarded = await measureEntry(ctx, { ...job, path: `${forwardedPath}?workMs=${workMs}` });
        const p50 = [direct, forwarded].map(({ histogram }) => getMs(histogram, 50));
        const p99 = [direct, forwarded].map(({ histogram }) => getMs(histogram, 99));
        return {
            "requests/s": halfRate,
            "direct p50 ms": p50[0]!,
            "direct p99 ms": p99[0]!,
            "added p50 ms": p50[1]! - p50[0]!,
            "added p99 ms": p99[1]! - p99[0]!,
            "p50, forwarded / direct": p50[1]! / p50[0]!,
        };
    },
    checks: [
        { measure: "added p50 ms", target: "< 0.5", isMet: value => value < 0.5 },
        { measure: "added p99 ms", target: "< 2", isMet: value => value < 2 },
        { measure: "p50, forwarded / direct", target: "" },
    ],
};

const lookupCase: CarryCase = {
    name: "lookup",
    warmUp: async ctx => void (await measureEntry(ctx, { ...saturatingJob, path: lookupPath })),
    measure: async ctx => {
        const found = await measureEntry(ctx, { ...saturatingJob, path: lookupPath });
        return {
            "lookups/s": found.requestsPerSecond,
            "lookups/s per entry core": found.requestsPerCore,
        };
    },
    checks: [{ measure: "lookups/s per entry core", target: ">= 15000", isMet: value => value >= 15_000 }],
};

const bulkCase: CarryCase = {
    name: "bulk",
    warmUp: async () => undefined,
    measure: async ctx => {
        const path = `/files/1?bytes=${bulkBytes}`;
        const job = { connections: bulkCallers, requestsPerConnection: 1, durationMs: bulkDeadlineMs };
        const direct = await measureDirect(ctx, { ...job, path });
        const before = await ctx.fleet.readEntryUsage();
        const peak = trackPeakMemory(ctx.fleet);
        const forwarded = await measureEntry(ctx, { ...job, path: `/register${path}` });
        const peakBytes = await peak.stop();
        return {
            "direct MB/s": direct.bytesPerSecond / 1e6,
            "forwarded MB/s": forwarded.bytesPerSecond / 1e6,
            "throughput, forwarded / direct": forwarded.bytesPerSecond / direct.bytesPerSecond,
            "peak memory MB": peakBytes / 1e6,
            "memory growth MB": Math.max(0, peakBytes - before.memoryBytes) / 1e6,
        };
    },
    checks: [
        { measure: "throughput, forwarded / direct", target: "" },
        { measure: "peak memory MB", target: "< 256", isMet: value => value < 256 },
        { measure: "memory growth MB", target: "" },
    ],
};

/** Samples the entry's memory usage until stopped and returns the peak. */
function trackPeakMemory(fleet: BenchFleet): { stop(): Promise<number> } {
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

export const cases: readonly CarryCase[] = [saturatedCase, halfLoadCase, lookupCase, bulkCase];
