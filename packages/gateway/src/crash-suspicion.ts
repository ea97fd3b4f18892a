/** How an instance of the fleet looks into requests that may crash servers. */
import type { BackendState, BackendTable } from "@waxwingdale/balancing";
import { rankOwners } from "@waxwingdale/core";

/** Time in milliseconds between the instances that may try a suspected request again; a crash is known within it. */
const trialDelayStepMs = 200;
const maxTrialDelayMs = 2000;

/** Whether a health check breaks no limit of the server, and no evacuation. */
export function canTakeHealthCheck(server: BackendState, table: BackendTable, now: number): boolean {
    return (
        !table.evacuatedZones().includes(server.record.zone) &&
        (now >= server.coldUntil || server.coldLimit.hasCapacity(now)) &&
        now >= server.health.pausedUntil() &&
        server.rateLimit.requestsPerSecond() === undefined
    );
}

/** Returns for how many milliseconds an instance leaves a trial to those that rank before it for the fingerprint. */
export function getTrialDelayMs(fingerprint: string, self: string, instances: readonly string[]): number {
    const rank = rankOwners(fingerprint, instances).indexOf(self);
    return rank < 0 ? maxTrialDelayMs : Math.min(maxTrialDelayMs, rank * trialDelayStepMs);
}
