/** Command line of the benchmarks. */
import sade from "sade";
import type { BenchOptions } from "../bench-options.js";
import { runCapacityBench } from "../capacity/index.js";
import { runCarryBench } from "../carry/index.js";
import { runPolicyBench } from "../policy/index.js";

const program = sade("bench");
program
    .option("--seed", "Seed of the random number generator", 1)
    .option("--rounds", "Number of rounds of each measurement", 3)
    .option("--only", "Run only the cases whose name contains this string");
program
    .command("carry", "Latency and throughput of an entry compared with direct requests", { default: true })
    .action((flags: BenchOptions) => runCarryBench(flags));
program
    .command("policy", "The limiter compared with baselines under the same offered load")
    .action((flags: BenchOptions) => runPolicyBench(flags));
program
    .command("capacity", "Scaling measurements for docs/CAPACITY.md")
    .action((flags: BenchOptions) => runCapacityBench(flags));
program.parse(process.argv);
