/** Policy benchmark: compares the production limiter with baselines and an ideal queue under the same offered load. */
import { RequestClass, classesByImportance } from "@waxwingdale/core";
import type { BenchOptions } from "../bench-options.js";
import { BrokerPolicy } from "./broker-policy.js";
import { measureAcquireCost } from "./acquire-cost.js";
import { runLinkCase } from "./link-case.js";
import { IdealQueuePolicy, LeastOutstandingPolicy, RoundRobinPolicy, TwoChoicesPolicy } from "./policy.js";
import type { Policy, SimContext } from "./policy.js";
import { runCase } from "./run-case.js";
import type { CaseFigures, PolicyCase } from "./run-case.js";
import { deadlinesMs } from "./simulation.js";
import type { Topology } from "./simulation.js";

const topologies: readonly Topology[] = [
    { name: "association", entries: 3, servers: 8, slots: 3, zoneDelayMs: 1 },
    { name: "khata", entries: 3, servers: 8, slots: 3, zoneDelayMs: 0.5 },
];

const cases: readonly PolicyCase[] = [
    { name: "load-50", load: 0.5, reportDelayMs: 0 },
    { name: "load-85", load: 0.85, reportDelayMs: 0 },
    { name: "load-200", load: 2, reportDelayMs: 0 },
    { name: "uneven-85", load: 0.85, reportDelayMs: 0, firstEntryShare: 0.5 },
    { name: "reports-0.5s-late-85", load: 0.85, reportDelayMs: 500 },
    { name: "reports-5s-late-85", load: 0.85, reportDelayMs: 5000 },
    { name: "slow-server-85", load: 0.85, reportDelayMs: 0, slowdown: index => (index === 3 ? 4 : 1) },
    { name: "cold-region-80", load: 0.8, reportDelayMs: 0, coldSlowdown: 2 },
    { name: "drain-70", load: 0.7, reportDelayMs: 0, drains: true },
];

const policies: Record<string, (ctx: SimContext) => Policy> = {
    "round-robin": ctx => new RoundRobinPolicy(ctx),
    "least-outstanding": ctx => new LeastOutstandingPolicy(ctx),
    "two-choices": ctx => new TwoChoicesPolicy(ctx),
    ideal: ctx => new IdealQueuePolicy(ctx),
    limiter: ctx => new BrokerPolicy(ctx),
};
const baselines = ["round-robin", "least-outstanding", "two-choices"];

type Rounds = Record<string, CaseFigures[]>;
type Measure = (figures: CaseFigures) => number;

const median = (values: readonly number[]) =>
    [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
const format = (value: number) => (Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(2));

/** Formats the median, minimum and maximum of the rounds. */
const formatSpread = (values: readonly number[]) =>
    `${format(median(values))} [${format(Math.min(...values))}..${format(Math.max(...values))}]`;

const write = (line: string) => void process.stdout.write(`${line}\n`);

interface Check {
    name: string;
    target: string;
    /** Measured values, one for each round. */
    measured: number[];
    /** Omitted for a figure without a target. */
    isMet?: (value: number) => boolean;
}

const lookupP99: Measure = figures => figures.byClass[RequestClass.Lookup].p99;
const meanWait: Measure = figures => figures.meanWait;

/** Returns the ratio of one policy to the best of the given policies, for each round. */
const getRatios = (rounds: Rounds, names: readonly string[], measure: Measure, of = "limiter") =>
    rounds[of]!.map(
        (own, round) => measure(own) / Math.min(...names.map(name => measure(rounds[name]![round]!))),
    );

const atMost = (limit: number) => (value: number) => value <= limit;
const atLeast = (limit: number) => (value: number) => value >= limit;

function listChecks(name: string, rounds: Rounds): Check[] {
    const own = rounds["limiter"]!;
    const checks: Check[] = [
        { name: "limit violations", target: "= 0", measured: own.map(f => f.overLimit), isMet: atMost(0) },
    ];
    const ratioToIdeal = getRatios(rounds, ["ideal"], lookupP99);
    const ratioToBaseline = getRatios(rounds, baselines, lookupP99);
    if (name === "load-85") {
        const waitRatios = getRatios(rounds, baselines, meanWait);
        checks.push({
            name: "lookup p99 / ideal",
            target: "<= 1.1",
            measured: ratioToIdeal,
            isMet: atMost(1.1),
        });
        const lookupWaitRatios = getRatios(rounds, baselines, f => f.byClass[RequestClass.Lookup].meanWait);
        checks.push({
            name: "lookup wait / best baseline",
            target: "<= 0.4",
            measured: lookupWaitRatios,
            isMet: atMost(0.4),
        });
        checks.push({
            name: "ideal wait / best baseline",
            target: "(bound)",
            measured: getRatios(rounds, baselines, meanWait, "ideal"),
        });
        checks.push({
            name: "mean wait / best baseline",
            target: "<= 0.4",
            measured: waitRatios,
            isMet: atMost(0.4),
        });
    }
    if (name === "reports-5s-late-85" || name === "slow-server-85") {
        checks.push({
            name: "lookup p99 / ideal",
            target: "<= 1.3",
            measured: ratioToIdeal,
            isMet: atMost(1.3),
        });
        checks.push({
            name: "lookup p99 / best baseline",
            target: "<= 1",
            measured: ratioToBaseline,
            isMet: atMost(1),
        });
    }
    if (name === "load-200") {
        const deadline = deadlinesMs[RequestClass.Lookup];
        checks.push({
            name: "goodput",
            target: ">= 0.95",
            measured: own.map(f => f.goodput),
            isMet: atLeast(0.95),
        });
        checks.push({
            name: "lookup p99",
            target: `<= ${deadline} ms`,
            measured: own.map(lookupP99),
            isMet: atMost(deadline),
        });
    }
    if (name === "drain-70") {
        // No request of the load runs for 300 ms or longer.
        checks.push({
            name: "drain time",
            target: "<= 3300 ms",
            measured: own.map(f => f.drainMs),
            isMet: atMost(3300),
        });
    }
    return checks;
}

function printFigures(rounds: Rounds): void {
    for (const [policy, figures] of Object.entries(rounds)) {
        const show = (measure: Measure) => formatSpread(figures.map(measure));
        for (const requestClass of classesByImportance) {
            const of = (pick: "p50" | "p99" | "p999" | "meanWait") =>
                show(f => f.byClass[requestClass][pick]);
            write(
                `  ${policy.padEnd(18)} ${requestClass.padEnd(7)} p50 ${of("p50")}  p99 ${of("p99")}  p99.9 ${of("p999")}  wait ${of("meanWait")}`,
            );
        }
        write(
            `  ${policy.padEnd(18)} all     wait ${show(meanWait)}  goodput ${show(f => f.goodput)}  rejected ${show(f => f.refused)}  drain ${show(f => f.drainMs)}  headroom ${show(f => f.headroom)}  over-limit ${show(f => f.overLimit)}`,
        );
    }
}

function printChecks(title: string, checks: readonly Check[]): void {
    for (const { name, target, measured, isMet } of checks) {
        const verdict = !isMet ? "" : isMet(median(measured)) ? "met" : "missed";
        write(
            `${title.padEnd(36)} ${name.padEnd(28)} ${target.padEnd(11)} ${formatSpread(measured).padEnd(26)} ${verdict}`,
        );
    }
}

async function runRounds(topology: Topology, spec: PolicyCase, options: BenchOptions): Promise<Rounds> {
    const rounds: Rounds = {};
    for (const [name, createPolicy] of Object.entries(policies)) {
        rounds[name] = [];
        for (let round = 0; round < options.rounds; round++) {
            rounds[name].push(await runCase(topology, spec, options.seed + round, createPolicy));
        }
    }
    return rounds;
}

async function runLinkRounds(options: BenchOptions): Promise<Check[]> {
    const seeds = Array.from({ length: options.rounds }, (_, round) => options.seed + round);
    const p99Ratios: number[] = [];
    const utilizations: number[] = [];
    for (const seed of seeds) {
        const baseline = await runLinkCase(seed, 0, true);
        const surge = await runLinkCase(seed, 12, true);
        const unshaped = await runLinkCase(seed, 12, false);
        write(
            `  lookup p99 without surge ${format(baseline.lookupP99)} ms, with surge ${format(surge.lookupP99)} ms, with surge and without shaper ${format(unshaped.lookupP99)} ms`,
        );
        p99Ratios.push(surge.lookupP99 / baseline.lookupP99);
        utilizations.push(surge.utilization);
    }
    return [
        { name: "lookup p99 / without surge", target: "<= 1.2", measured: p99Ratios, isMet: atMost(1.2) },
        { name: "link utilization", target: ">= 0.9", measured: utilizations, isMet: atLeast(0.9) },
    ];
}

export async function runPolicyBench(options: BenchOptions): Promise<void> {
    const isChosen = (name: string) => options.only === undefined || name.includes(options.only);
    const results: { title: string; checks: Check[] }[] = [];
    for (const topology of topologies) {
        for (const spec of cases) {
            const title = `${topology.name}/${spec.name}`;
            if (!isChosen(title)) {
                continue;
            }
            write(title);
            const rounds = await runRounds(topology, spec, options);
            printFigures(rounds);
            results.push({ title, checks: listChecks(spec.name, rounds) });
        }
    }
    if (isChosen("khata/bulk-surge")) {
        write("khata/bulk-surge");
        results.push({ title: "khata/bulk-surge", checks: await runLinkRounds(options) });
    }
    if (isChosen("acquire-cost")) {
        const micros = await measureAcquireCost();
        const check = {
            name: "acquire and release",
            target: "<= 5 us",
            measured: [micros],
            isMet: atMost(5),
        };
        results.push({ title: "acquire-cost", checks: [check] });
    }
    write("");
    write(
        `${"case".padEnd(36)} ${"measure".padEnd(28)} ${"target".padEnd(11)} ${"measured".padEnd(26)} verdict`,
    );
    results.forEach(({ title, checks }) => printChecks(title, checks));
}
