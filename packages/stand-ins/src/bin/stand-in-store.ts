/** Binary of the stand-in of the platform's object API. */
import { createLogger, createSystemClock } from "@waxwingdale/core";
import sade from "sade";
import { startObjectApi } from "../object-api/index.js";

interface Flags {
    port: number;
    host: string;
    writes: number;
    reads: number;
}

/** Starts the object API and keeps it until SIGTERM or SIGINT. */
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
    .option("--port", "Port; 0 picks a free one", 0)
    .option("--host", "IP address to listen on", "127.0.0.1")
    .option("--writes", "Writes that the store accepts each second", 400)
    .option("--reads", "Reads that the store accepts each second", 2000)
    .action((flags: Flags) => run(flags))
    .parse(process.argv);
