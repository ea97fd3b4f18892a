/** All commands in the order of the help text. */
import type { CommandSpec } from "../command-spec.js";
import { checkCommand } from "./check.js";
import { checkConfigCommand } from "./check-config.js";
import { diffCommand } from "./diff.js";
import { drainStatusCommand } from "./drain-status.js";
import { dumpCommand } from "./dump.js";
import { explainCommand } from "./explain.js";
import { healthCommand } from "./health.js";
import { metricsCommand } from "./metrics.js";
import { outcomeCommand } from "./outcome.js";
import { pushCommand } from "./push.js";
import { schemaCommand } from "./schema.js";
import { showCommand } from "./show.js";
import { statusCommand } from "./status.js";
import { traceCheckCommand, traceFetchCommand, traceStartCommand } from "./trace.js";

export const commands: readonly CommandSpec[] = [
    checkCommand,
    diffCommand,
    pushCommand,
    showCommand,
    statusCommand,
    healthCommand,
    drainStatusCommand,
    dumpCommand,
    explainCommand,
    outcomeCommand,
    metricsCommand,
    traceStartCommand,
    traceFetchCommand,
    traceCheckCommand,
    schemaCommand,
    checkConfigCommand,
];
