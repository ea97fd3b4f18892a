/** Command line of the load driver. Prints its report as JSON. */
import { createSystemClock } from "@waxwingdale/core";
import sade from "sade";
import { runLoad } from "../load/index.js";
import type { Deployment } from "../load/index.js";

interface Flags {
    deployment: Deployment;
    entries: string;
    rate: number;
    seconds: number;
    seed: number;
}

async function run(flags: Flags): Promise<void> {
    const report = await runLoad({
        clock: createSystemClock(),
        deployment: flags.deployment,
        entries: flags.entries.split(","),
        requestsPerSecond: flags.rate,
        seconds: flags.seconds,
        seed: flags.seed,
    });
    process.stdout.write(`${JSON.stringify(report)}\n`);
}

sade("load-driver", true)
    .option("--deployment", "Deployment: association or khata", "association")
    .option("--entries", "Caller addresses of the entries, separated by commas", "127.0.0.1:8080")
    .option("--rate", "Requests per second", 200)
    .option("--seconds", "Duration of the load in seconds", 20)
    .option("--seed", "Seed of the random number generator", 1)
    .action((flags: Flags) => run(flags))
    .parse(process.argv);
