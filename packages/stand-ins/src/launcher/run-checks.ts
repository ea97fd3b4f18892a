/** Compares what callers were told with what ran on the backend servers. */
import { request } from "undici";
import type { LoadReport } from "../load/index.js";
import type { FleetBackend } from "./launch-fleet.js";

export interface BackendState {
    id: string;
    busy: number;
    now: number;
    cpuSeconds: number;
    peakBusy: number;
    lastStartAt?: number;
    startsAfterDrain: number[];
    drainStartedAt?: number;
    idleAt?: number;
    keys?: Record<string, number>;
}

/** Reads the record of one backend server. */
export async function readBackendState(backend: FleetBackend): Promise<BackendState> {
    const res = await request(`http://${backend.address}/control/runs`);
    return (await res.body.json()) as BackendState;
}

export interface RunCounts {
    /** Keys that ran more than once. */
    doubled: number;
    /** Keys whose caller has an answer and that ran nowhere. */
    lost: number;
    /** Keys whose caller was told "not run" and that ran. */
    falseNotRun: number;
    /** Most requests that ran at once on one server. */
    peakBusy: number;
}

/** Counts the broken promises of a load. */
export async function countRuns(backends: FleetBackend[], report: LoadReport): Promise<RunCounts> {
    const runs = new Map<string, number>();
    let peakBusy = 0;
    for (const backend of backends) {
        const state = await readBackendState(backend);
        peakBusy = Math.max(peakBusy, state.peakBusy);
        for (const [key, count] of Object.entries(state.keys ?? {})) {
            runs.set(key, (runs.get(key) ?? 0) + count);
        }
    }
    return {
        doubled: [...runs.values()].filter(count => count > 1).length,
        lost: report.answeredKeys.filter(key => !runs.has(key)).length,
        falseNotRun: report.notRunKeys.filter(key => runs.has(key)).length,
        peakBusy,
    };
}
