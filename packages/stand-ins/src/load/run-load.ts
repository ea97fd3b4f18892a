/** Open-loop load: sends a deployment's request mix at a constant mean rate, independent of the response times. */
import hdr from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { RequestClass, createRandom } from "@waxwingdale/core";
import type { Clock } from "@waxwingdale/core";
import { CallResult, createCaller, createCallerAgent } from "./caller.js";
import type { CallReport } from "./caller.js";
import { drawRequest } from "./workload.js";
import type { Deployment, LoadRequest } from "./workload.js";

export interface LoadOptions {
    clock: Clock;
    deployment: Deployment;
    entries: readonly string[];
    requestsPerSecond: number;
    seconds: number;
    seed: number;
}

export interface ClassLatency {
    requestClass: RequestClass;
    count: number;
    p50Ms: number;
    p99Ms: number;
    maxMs: number;
}

export interface LoadReport {
    requests: number;
    answered: number;
    notRun: number;
    unknown: number;
    wrong: number;
    replayed: number;
    /** Number of requests that were retried. */
    sentAgain: number;
    /** Number of requests without a correct response, by their final reason. */
    reasons: Record<string, number>;
    latency: ClassLatency[];
    /** Keys of writes that received a response. */
    answeredKeys: string[];
    /** Keys of writes whose reported outcome is "not run". */
    notRunKeys: string[];
}

/** Callers in each region; each caches lookup responses on its own. */
const callersPerRegion = 40;
const regionCount = 3;

/** Returns the loopback address from which the callers of a region connect. */
export function getLoopbackAddress(region: number): string {
    return `127.${region + 1}.0.1`;
}

/** Runs the load and resolves once every request has completed. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
    const { clock } = options;
    const random = createRandom(options.seed);
    const agents = Array.from({ length: regionCount }, (_, i) => createCallerAgent(getLoopbackAddress(i)));
    const callers = Array.from({ length: regionCount * callersPerRegion }, (_, i) =>
        createCaller({
            clock,
            random,
            entries: options.entries,
            dispatcher: agents[i % regionCount]!,
            client: `127.${1 + (i % regionCount)}.0.${1 + Math.floor(i / regionCount)}`,
        }),
    );
    const histograms = new Map(
        Object.values(RequestClass).map(name => [name, hdr.build({ numberOfSignificantValueDigits: 3 })]),
    );
    const report: LoadReport = {
        requests: 0,
        answered: 0,
        notRun: 0,
        unknown: 0,
        wrong: 0,
        replayed: 0,
        sentAgain: 0,
        reasons: {},
        latency: [],
        answeredKeys: [],
        notRunKeys: [],
    };
    const calls: Promise<void>[] = [];
    const end = clock.now() + options.seconds * 1000;
    let nextAt = clock.now();
    while (nextAt < end) {
        await clock.sleep(Math.max(0, nextAt - clock.now()));
        while (nextAt <= clock.now() && nextAt < end) {
            const caller = callers[Math.floor(random() * callers.length)]!;
            const loadRequest = drawRequest(options.deployment, random);
            calls.push(
                caller
                    .call(loadRequest)
                    .then(result => recordResult(report, histograms, loadRequest, result)),
            );
            nextAt += (-Math.log(1 - random()) * 1000) / options.requestsPerSecond;
        }
    }
    await Promise.all(calls);
    await Promise.all(agents.map(agent => agent.destroy()));
    report.latency = [...histograms]
        .filter(([, histogram]) => histogram.totalCount > 0)
        .map(([name, histogram]) => summarize(name, histogram));
    return report;
}

function recordResult(
    report: LoadReport,
    histograms: Map<RequestClass, Histogram>,
    loadRequest: LoadRequest,
    call: CallReport,
): void {
    report.requests++;
    report.sentAgain += call.attempts > 1 ? 1 : 0;
    report.replayed += call.replayed ? 1 : 0;
    switch (call.result) {
        case CallResult.Answered:
            report.answered++;
            // Histograms hold integers, so latencies are recorded in microseconds.
            histograms.get(loadRequest.requestClass)!.recordValue(Math.round(call.ms * 1000));
            if (call.key !== undefined) {
                report.answeredKeys.push(call.key);
            }
            return;
        case CallResult.NotRun:
            report.notRun++;
            if (call.key !== undefined) {
                report.notRunKeys.push(call.key);
            }
            break;
        case CallResult.Unknown:
            report.unknown++;
            break;
        case CallResult.Wrong:
            report.wrong++;
            break;
    }
    report.reasons[call.reason] = (report.reasons[call.reason] ?? 0) + 1;
}

function summarize(requestClass: RequestClass, histogram: Histogram): ClassLatency {
    const toMs = (value: number) => Math.round(value / 10) / 100;
    return {
        requestClass,
        count: histogram.totalCount,
        p50Ms: toMs(histogram.getValueAtPercentile(50)),
        p99Ms: toMs(histogram.getValueAtPercentile(99)),
        maxMs: toMs(histogram.maxValue),
    };
}
