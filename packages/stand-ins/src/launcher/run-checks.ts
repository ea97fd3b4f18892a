/** Compares the outcomes reported to callers with the requests that ran on the backend servers. */
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

/** Fetches the state and run record of a backend server. */
export async function readBackendState(backend: FleetBackend): Promise<BackendState> {
    const res = await request(`http://${backend.address}/control/runs`);
    return (await res.body.json()) as BackendState;
}

export interface RunCounts {
    /** Number of keys that ran more than once. */
    duplicated: number;
    /** Number of keys whose caller received a response although they did not run. */
    lost: number;
    /** Number of keys that ran although the reported outcome was "not run". */
    falseNotRun: number;
    /** Maximum number of concurrent requests on any server. */
    peakBusy: number;
}

/** Counts the violations of the at-most-once guarantee after a load. */
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
        duplicated: [...runs.values()].filter(count => count > 1).length,
        lost: report.answeredKeys.filter(key => !runs.has(key)).length,
        falseNotRun: report.notRunKeys.filter(key => runs.has(key)).length,
        peakBusy,
    };
}
