/** Sends a deployment's mix at a constant mean rate, whatever the answers take (open loop). */
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
    /** Requests that the caller sent more than once. */
    sentAgain: number;
    /** Final reasons of requests without an answer. */
    reasons: Record<string, number>;
    latency: ClassLatency[];
    /** Keys of the writes that were answered. */
    answeredKeys: string[];
    /** Keys of the writes that the system said did not run. */
    notRunKeys: string[];
}

/** Callers in each region; each keeps its own look-up answers. */
const callersPerRegion = 40;
const regions = 3;

/** Address on the loopback network that the callers of a region connect from. */
export function getLoopbackClient(region: number): string {
    return `127.${region + 1}.0.1`;
}

/** Runs the load and resolves when every request has ended. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
    const { clock } = options;
    const random = createRandom(options.seed);
    const agents = Array.from({ length: regions }, (_, i) => createCallerAgent(getLoopbackClient(i)));
    const callers = Array.from({ length: regions * callersPerRegion }, (_, i) =>
        createCaller({
            clock,
            random,
            entries: options.entries,
            dispatcher: agents[i % regions]!,
            client: `127.${1 + (i % regions)}.0.${1 + Math.floor(i / regions)}`,
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
    const running: Promise<void>[] = [];
    const end = clock.now() + options.seconds * 1000;
    let nextAt = clock.now();
    while (nextAt < end) {
        await clock.sleep(Math.max(0, nextAt - clock.now()));
        while (nextAt <= clock.now() && nextAt < end) {
            const caller = callers[Math.floor(random() * callers.length)]!;
            const wanted = drawRequest(options.deployment, random);
            running.push(caller.call(wanted).then(result => note(report, histograms, wanted, result)));
            nextAt += (-Math.log(1 - random()) * 1000) / options.requestsPerSecond;
        }
    }
    await Promise.all(running);
    await Promise.all(agents.map(agent => agent.destroy()));
    report.latency = [...histograms]
        .filter(([, histogram]) => histogram.totalCount > 0)
        .map(([name, histogram]) => summarize(name, histogram));
    return report;
}

function note(
    report: LoadReport,
    histograms: Map<RequestClass, Histogram>,
    wanted: LoadRequest,
    call: CallReport,
): void {
    report.requests++;
    report.sentAgain += call.attempts > 1 ? 1 : 0;
    report.replayed += call.replayed ? 1 : 0;
    switch (call.result) {
        case CallResult.Answered:
            report.answered++;
            // Histograms take whole numbers, so times are kept in microseconds.
            histograms.get(wanted.requestClass)!.recordValue(Math.round(call.ms * 1000));
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
