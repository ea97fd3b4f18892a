/** One measurement of one driver process. */
import { performance } from "node:perf_hooks";
import { createRandom } from "@waxwingdale/core";
import { build, encodeIntoCompressedBase64 } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { openHttpConnection } from "./http-connection.js";
import type { HttpConnection } from "./http-connection.js";

export interface DriverJob {
    /** Connections are spread over these addresses in turn. */
    addresses: string[];
    path: string;
    connections: number;
    durationMs: number;
    /** Requests per second by a Poisson process; without it each connection sends as fast as it gets answers. */
    rate?: number;
    /** Requests on each connection, instead of a duration. */
    requestsPerConnection?: number;
    seed: number;
}

export interface DriverResult {
    requests: number;
    /** Answers with a status other than 200, and requests without an answer. */
    failures: number;
    bytes: number;
    elapsedMs: number;
    /** Latencies in microseconds, as a compressed histogram. */
    histogram: string;
}

/** Highest latency in microseconds that a histogram holds. */
const highestMicros = 60_000_000;

/** Creates an empty histogram of latencies in microseconds. */
export function createLatencyHistogram(): Histogram {
    return build({ highestTrackableValue: highestMicros, numberOfSignificantValueDigits: 3 });
}

/** Runs a job to its end. */
export async function runJob(job: DriverJob): Promise<DriverResult> {
    const connections = await Promise.all(
        Array.from({ length: job.connections }, (_, i) =>
            openHttpConnection(job.addresses[i % job.addresses.length]!),
        ),
    );
    const histogram = createLatencyHistogram();
    const totals = { requests: 0, failures: 0, bytes: 0 };
    const startedAt = performance.now();

    const call = async (connection: HttpConnection, since: number) => {
        try {
            const { status, bodyBytes } = await connection.get(job.path);
            totals.bytes += bodyBytes;
            totals.failures += status === 200 ? 0 : 1;
        } catch {
            totals.failures++;
        }
        totals.requests++;
        const micros = Math.round((performance.now() - since) * 1000);
        histogram.recordValue(Math.min(highestMicros, Math.max(1, micros)));
    };

    if (job.rate === undefined) {
        await Promise.all(connections.map(connection => runClosedLoop(job, connection, call)));
    } else {
        await runOpenLoop(job, job.rate, connections, call);
    }
    const elapsedMs = performance.now() - startedAt;
    connections.forEach(connection => connection.close());
    return { ...totals, elapsedMs, histogram: encodeIntoCompressedBase64(histogram) };
}

type Call = (connection: HttpConnection, since: number) => Promise<void>;

async function runClosedLoop(job: DriverJob, connection: HttpConnection, call: Call): Promise<void> {
    const end = performance.now() + job.durationMs;
    const count = job.requestsPerConnection ?? Infinity;
    for (let i = 0; i < count && performance.now() < end; i++) {
        await call(connection, performance.now());
    }
}

/** Sends at the times of a Poisson process. A latency counts from the planned time, so that a stall of the target shows. */
function runOpenLoop(job: DriverJob, rate: number, connections: HttpConnection[], call: Call): Promise<void> {
    const random = createRandom(job.seed);
    const free = [...connections];
    const end = performance.now() + job.durationMs;
    let due = performance.now();
    let running = 0;
    return new Promise(resolve => {
        const tick = () => {
            const now = performance.now();
            while (due <= now && due < end && free.length > 0) {
                const connection = free.pop()!;
                running++;
                void call(connection, due).then(() => {
                    running--;
                    free.push(connection);
                });
                due += (-Math.log(1 - random()) / rate) * 1000;
            }
            if (due >= end && running === 0) {
                resolve();
            } else {
                // A timer's resolution of 1 ms is longer than the overhead that is measured.
                setImmediate(tick);
            }
        };
        tick();
    });
}
