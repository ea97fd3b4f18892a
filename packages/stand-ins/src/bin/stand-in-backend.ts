/** Command line of the stand-in backend server. It registers itself in the platform's instance list. */
import {
    InstanceRole,
    InstanceState,
    createLogger,
    createRandom,
    createSystemClock,
    getErrorMessage,
    hash32,
} from "@waxwingdale/core";
import type { InstanceRecord } from "@waxwingdale/core";
import sade from "sade";
import { request } from "undici";
import { startBackendServer } from "../backend-server/index.js";

interface Flags {
    id: string;
    service: string;
    region: string;
    zone: string;
    site: string;
    store: string;
    host: string;
    port: number;
    "work-ms": number;
    "warm-up-ms": number;
    slots: number;
    "constant-work": boolean;
}

/** Maximum time that a stopping server waits for its active requests, in milliseconds. */
const maxStopMs = 30_000;

async function run(flags: Flags): Promise<void> {
    const clock = createSystemClock();
    const logger = createLogger(clock, { base: { server: flags.id } });
    const server = await startBackendServer({
        id: flags.id,
        service: flags.service,
        clock,
        random: createRandom(hash32(flags.id)),
        host: flags.host,
        port: flags.port,
        behavior: {
            workMs: flags["work-ms"],
            warmUpMs: flags["warm-up-ms"],
            slots: flags.slots,
            randomWork: !flags["constant-work"],
        },
        onDrain: draining => void register(draining ? InstanceState.Leaving : InstanceState.Live),
    });

    const register = async (state: InstanceState) => {
        const { id, service, region, zone, site } = flags;
        const instance: InstanceRecord = {
            id,
            role: InstanceRole.BackendServer,
            address: server.address,
            region,
            zone,
            site,
            service,
            state,
        };
        try {
            await callInstanceApi("PUT", JSON.stringify(instance));
        } catch (err) {
            logger.warn("list-failed", { error: getErrorMessage(err) });
        }
    };

    const callInstanceApi = async (method: "PUT" | "DELETE", body?: string) => {
        const headers = { "content-type": "application/json" };
        const res = await request(`http://${flags.store}/v1/instances/${flags.id}`, {
            method,
            body,
            headers,
        });
        await res.body.dump();
    };

    const stop = async () => {
        server.setDraining(true);
        const end = clock.now() + maxStopMs;
        // Requests still arrive until all entries have seen the drain.
        await clock.sleep(3000);
        while (server.busy() > 0 && clock.now() < end) {
            await clock.sleep(50);
        }
        await callInstanceApi("DELETE").catch(() => undefined);
        await server.close();
    };

    process.once("SIGTERM", () => void stop());
    await register(InstanceState.Live);
    logger.info("listening", { address: server.address });
}

sade("stand-in-backend", true)
    .option("--id", "Id of the server", "backend-1")
    .option("--service", "Service that the server runs", "register")
    .option("--region", "Region", "north")
    .option("--zone", "Availability zone", "a")
    .option("--site", "Site", "north-a")
    .option("--store", "Address of the object API", "127.0.0.1:7000")
    .option("--host", "IP address to listen on", "127.0.0.1")
    .option("--port", "Port to listen on; 0 selects a free port", 0)
    .option("--work-ms", "Mean service time in milliseconds", 10)
    .option("--warm-up-ms", "Duration of the warm-up with cold caches, in milliseconds", 0)
    .option("--slots", "Maximum number of concurrent requests", 3)
    .option("--constant-work", "Use a constant service time for all requests", false)
    .action((flags: Flags) => run(flags))
    .parse(process.argv);
