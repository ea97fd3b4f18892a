/**
 * Prints the table of docs/design/even-load.md: `node --import tsx packages/balancing/test/compare-choices.ts M 0.6 3,4,12`
 * with the deployment, the load and the numbers of choosing instances of a region.
 */
import type { BackendState } from "@waxwingdale/balancing";
import { runModel } from "./choice-model.js";
import type { ModelOptions, ModelResult } from "./choice-model.js";

const deployments = new Map([
    ["M", { servers: 36, slots: 4, maxQueued: 12, slowShare: 0 }],
    ["Q", { servers: 50, slots: 9, maxQueued: 27, slowShare: 0.15 }],
]);
const seeds = [1, 2, 3];
const durationMs = 20_000;

const pickLeast = (servers: readonly BackendState[], now: number) => {
    const utilization = ({ load, record }: BackendState) => load.expected(now) / record.slots;
    return servers.reduce((a, b) => (utilization(b) < utilization(a) ? b : a));
};
const pickRandomly =
    (count: number): ModelOptions["choose"] =>
    (servers, now, random) => {
        const picked = Array.from({ length: count }, () => servers[Math.floor(random() * servers.length)]!);
        return pickLeast(picked, now);
    };

const strategies = new Map<string, (instances: number, slots: number) => Partial<ModelOptions>>([
    ["best known server", () => ({ choose: pickLeast, statesWorkTime: false })],
    ["two random servers", () => ({ choose: pickRandomly(2), statesWorkTime: false })],
    ["three random servers", () => ({ choose: pickRandomly(3), statesWorkTime: false })],
    [
        "share of slots",
        (instances, slots) => ({ maxOwn: Math.ceil(slots / instances), statesWorkTime: false }),
    ],
    ["own requests, decay (before)", () => ({ statesWorkTime: false })],
    ["with stated work time", () => ({ statesWorkTime: true })],
    ["and reports every 500 ms", () => ({ statesWorkTime: true, exchangeMs: 500 })],
    ["and reports every 250 ms", () => ({ statesWorkTime: true, exchangeMs: 250 })],
]);

const [deploymentName = "Q", load = "0.6", counts = "4"] = process.argv.slice(2);
const deployment = deployments.get(deploymentName)!;
for (const instances of counts.split(",").map(Number)) {
    for (const [name, createOptions] of strategies) {
        const results: ModelResult[] = [];
        for (const seed of seeds) {
            const common = { ...deployment, load: Number(load), instances, durationMs, seed };
            const options = createOptions(instances, deployment.slots);
            results.push(await runModel({ ...common, statesWorkTime: true, ...options }));
        }
        const mean = (read: (result: ModelResult) => number) =>
            results.reduce((sum, result) => sum + read(result), 0) / results.length;
        const cells = [
            mean(({ spread }) => spread).toFixed(2),
            `${(mean(({ overloaded }) => overloaded) * 100).toFixed(1)} %`,
            mean(({ meanWaitMs }) => meanWaitMs).toFixed(0),
            mean(({ p99WaitMs }) => p99WaitMs).toFixed(0),
            mean(({ warm }) => warm).toFixed(2),
            `${(mean(({ lost }) => lost) * 100).toFixed(1)} %`,
        ];
        console.log(`| ${[deploymentName, load, instances, name, ...cells].join(" | ")} |`);
    }
}
