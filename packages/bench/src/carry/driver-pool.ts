/** Pool of driver processes that generate the load of the carry benchmark. */
import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { fileURLToPath } from "node:url";
import { decodeFromCompressedBase64 } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { createLatencyHistogram } from "./run-job.js";
import type { DriverJob, DriverResult } from "./run-job.js";

export interface LoadResult {
    requests: number;
    failures: number;
    bytes: number;
    requestsPerSecond: number;
    bytesPerSecond: number;
    histogram: Histogram;
}

export interface DriverPool {
    /** Distributes the connections and the rate of a job over the processes and aggregates their results. */
    run(job: DriverJob): Promise<LoadResult>;
    stop(): void;
}

type DriverReply = { result: DriverResult } | { error: string };

/** Starts the driver processes. */
export function startDriverPool(count: number): DriverPool {
    const path = fileURLToPath(new URL("./carry-driver.js", import.meta.url));
    const children = Array.from({ length: count }, () => fork(path));

    const run = async (job: DriverJob): Promise<LoadResult> => {
        const results = await Promise.all(
            children.map((child, i) =>
                runDriverJob(child, {
                    ...job,
                    connections: job.connections / count,
                    rate: job.rate && job.rate / count,
                    seed: job.seed + i,
                }),
            ),
        );
        const histogram = createLatencyHistogram();
        results.forEach(result => histogram.add(decodeFromCompressedBase64(result.histogram)));
        const sum = (pick: (result: DriverResult) => number) =>
            results.reduce((total, result) => total + pick(result), 0);
        return {
            requests: sum(result => result.requests),
            failures: sum(result => result.failures),
            bytes: sum(result => result.bytes),
            requestsPerSecond: sum(result => (result.requests / result.elapsedMs) * 1000),
            bytesPerSecond: sum(result => (result.bytes / result.elapsedMs) * 1000),
            histogram,
        };
    };

    return { run, stop: () => children.forEach(child => void child.kill()) };
}

function runDriverJob(child: ChildProcess, job: DriverJob): Promise<DriverResult> {
    return new Promise((resolve, reject) => {
        child.once("message", (reply: DriverReply) => {
            if ("error" in reply) {
                reject(new Error(`driver: ${reply.error}`));
            } else {
                resolve(reply.result);
            }
        });
        child.send(job);
    });
}
