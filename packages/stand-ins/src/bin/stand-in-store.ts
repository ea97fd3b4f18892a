/** Command line of the stand-in for the platform's object API. */
import { createLogger, createSystemClock } from "@waxwingdale/core";
import sade from "sade";
import { startObjectApi } from "../object-api/index.js";

interface Flags {
    port: number;
    host: string;
    writes: number;
    reads: number;
}

/** Runs the object API until SIGTERM or SIGINT. */
async function run(flags: Flags): Promise<void> {
    const clock = createSystemClock();
    const logger = createLogger(clock);
    const api = await startObjectApi({
        clock,
        host: flags.host,
        port: flags.port,
        writesPerSecond: flags.writes,
        readsPerSecond: flags.reads,
    });
    logger.info("listening", { address: api.address });
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.once(signal, () => void api.close());
    }
}

sade("stand-in-store", true)
    .option("--port", "Port to listen on; 0 selects a free port", 0)
    .option("--host", "IP address to listen on", "127.0.0.1")
    .option("--writes", "Maximum number of writes per second", 400)
    .option("--reads", "Maximum number of reads per second", 2000)
    .action((flags: Flags) => run(flags))
    .parse(process.argv);
