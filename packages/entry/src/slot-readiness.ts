/** Readiness check of a new entry: without slots of the region's backend servers, it would reject requests. */
import type { BackendDirectory } from "@waxwingdale/backends";
import type { Clock } from "@waxwingdale/core";
import { defaultLimitsConfig } from "@waxwingdale/limits";
import type { SlotBroker } from "@waxwingdale/limits";

/**
 * Time since backend servers became known after which an entry without slots of its own is ready anyway and borrows
 * slots. After the takeover delay, it owns all the slots that it will get: possibly none of a service with few servers.
 */
const maxWaitMs = defaultLimitsConfig.takeoverDelayMs + 1000;

export interface SlotReadiness {
    /** Stays true once it is true: under load, an entry may lend or use all of its slots. */
    isReady(): boolean;
}

/** Without backend servers in its region, the entry is ready after twice the wait: requests go to other regions. */
export function createSlotReadiness(
    clock: Clock,
    broker: SlotBroker,
    backends: BackendDirectory,
): SlotReadiness {
    let ready = false;
    let firstCheckAt: number | undefined;
    let serversKnownAt: number | undefined;
    return {
        isReady: () => {
            if (ready || backends.listAgeMs() === undefined) {
                return ready;
            }
            firstCheckAt ??= clock.now();
            const services = new Set(
                backends
                    .servers()
                    .filter(server => !server.draining)
                    .map(server => server.service),
            );
            if (services.size > 0) {
                serversKnownAt ??= clock.now();
            }
            const confirmed = broker.state().slots.filter(({ isOwn, isConfirmed }) => isOwn && isConfirmed);
            const servicesWithSlots = confirmed.map(
                ({ key }) => backends.find(key.slice(0, key.lastIndexOf("/")))?.service,
            );
            const hasSlots =
                services.size > 0 && [...services].every(service => servicesWithSlots.includes(service));
            const startedAt = serversKnownAt ?? firstCheckAt + maxWaitMs;
            ready = hasSlots || clock.now() - startedAt > maxWaitMs;
            return ready;
        },
    };
}
