/** Scaling measurements behind the capacity page: the cost of each component at increasing sizes. */
import type { BenchOptions } from "../bench-options.js";
import { formatTable } from "./capacity-table.js";
import type { CapacityTable } from "./capacity-table.js";
import { measureClaimRates } from "./claims-table.js";
import { measureLookupDirectory } from "./lookup-directory.js";
import { measureClientBlockTable, measureClientBlockTableFill } from "./client-block-table.js";
import { measureMembershipSizes } from "./membership-table.js";
import { measurePlanner } from "./planner.js";
import { measureReports } from "./reports.js";

interface Measurement {
    /** Name that the option `--only` matches. */
    name: string;
    measure: (options: BenchOptions) => CapacityTable | Promise<CapacityTable>;
}

const measurements: Measurement[] = [
    { name: "lookup-table", measure: measureClientBlockTable },
    { name: "lookup-fill", measure: measureClientBlockTableFill },
    { name: "lookup-directory", measure: measureLookupDirectory },
    { name: "planner", measure: measurePlanner },
    { name: "claims", measure: measureClaimRates },
    { name: "reports", measure: measureReports },
    { name: "membership", measure: measureMembershipSizes },
];

/** Runs the measurements sequentially and prints a table of medians for each. */
export async function runCapacityBench(options: BenchOptions): Promise<void> {
    console.log(`seed ${options.seed}, ${options.rounds} rounds; median (min..max)\n`);
    for (const { name, measure } of measurements) {
        if (options.only === undefined || name.includes(options.only)) {
            console.log(formatTable(await measure(options)));
        }
    }
}
