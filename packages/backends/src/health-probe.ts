/** Asks backend servers for their health. */
import { drainingHeader } from "@waxwingdale/core";
import type { BackendServer } from "@waxwingdale/core";
import { request } from "undici";
import type { Dispatcher } from "undici";

export enum HealthStatus {
    Ok = "ok",
    Draining = "draining",
    /** No usable answer. */
    Unreachable = "unreachable",
}

/** Time in milliseconds that a health answer may take. */
const probeTimeoutMs = 800;

export type HealthProbe = (server: BackendServer) => Promise<HealthStatus>;

/** Creates the probe over HTTP: GET /health, status 200, and the drain header. */
export function createHealthProbe(findDispatcher: (address: string) => Dispatcher): HealthProbe {
    return async server => {
        try {
            const res = await request(`http://${server.address}/health`, {
                dispatcher: findDispatcher(server.address),
                signal: AbortSignal.timeout(probeTimeoutMs),
            });
            await res.body.dump();
            if (res.headers[drainingHeader] === "1") {
                return HealthStatus.Draining;
            }
            return res.statusCode === 200 ? HealthStatus.Ok : HealthStatus.Unreachable;
        } catch {
            return HealthStatus.Unreachable;
        }
    };
}
