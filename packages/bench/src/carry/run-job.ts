/** Load generator of a driver process. */
import { performance } from "node:perf_hooks";
import { createRandom } from "@waxwingdale/core";
import { build, encodeIntoCompressedBase64 } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { openHttpConnection } from "./http-connection.js";
import type { HttpConnection } from "./http-connection.js";

export interface DriverJob {
    /** Target addresses; connections are distributed round-robin. */
    addresses: string[];
    path: string;
    connections: number;
    durationMs: number;
    /** Mean rate of Poisson arrivals per second. If omitted, each connection sends requests back to back. */
    rate?: number;
    /** Maximum number of requests on each connection. */
    requestsPerConnection?: number;
    seed: number;
}

export interface DriverResult {
    requests: number;
    /** Number of responses with a status other than 200 and of requests without a response. */
    failures: number;
    bytes: number;
    elapsedMs: number;
    /** Histogram of latencies in microseconds, compressed and base64-encoded. */
    histogram: string;
}

/** Maximum latency that a histogram can record, in microseconds. */
const maxLatencyMicros = 60_000_000;

/** Creates an empty histogram of latencies in microseconds. */
export function createLatencyHistogram(): Histogram {
    return build({ highestTrackableValue: maxLatencyMicros, numberOfSignificantValueDigits: 3 });
}

/** Runs a job and returns its result. */
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
        histogram.recordValue(Math.min(maxLatencyMicros, Math.max(1, micros)));
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

/**
 * Sends requests at Poisson arrival times. Latencies are measured from the intended send time, so that a stall of the
 * target is not hidden (coordinated omission).
 */
function runOpenLoop(job: DriverJob, rate: number, connections: HttpConnection[], call: Call): Promise<void> {
    const random = createRandom(job.seed);
    const free = [...connections];
    const end = performance.now() + job.durationMs;
    let due = performance.now();
    let running = 0;
    return new Promise(resolve => {
        const sendDue = () => {
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
                // The timer resolution of 1 ms is coarser than the overhead to be measured.
                setImmediate(sendDue);
            }
        };
        sendDue();
    });
}
