/** Health probes of backend servers. */
import { drainingHeader } from "@waxwingdale/core";
import type { BackendServer } from "@waxwingdale/core";
import { request } from "undici";
import type { Dispatcher } from "undici";

export enum HealthStatus {
    Ok = "ok",
    Draining = "draining",
    /** No valid response. */
    Unreachable = "unreachable",
}

/** Timeout of a health probe, in milliseconds. */
const probeTimeoutMs = 800;

export type HealthProbe = (server: BackendServer) => Promise<HealthStatus>;

/** Creates a probe that sends GET /health and evaluates the drain header and the status code. */
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
