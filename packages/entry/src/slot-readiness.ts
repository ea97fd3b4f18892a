/** Whether a started entry has slots of the region's backend servers. Without them it would refuse what callers send. */
import type { BackendDirectory } from "@waxwingdale/backends";
import type { Clock } from "@waxwingdale/core";
import { defaultLimitsConfig } from "@waxwingdale/limits";
import type { SlotBroker } from "@waxwingdale/limits";

/**
 * Time in milliseconds with known servers after which an entry without own slots serves all the same, by borrowing. After
 * the takeover delay an entry has the slots that it can get; of a service with few servers that may be none.
 */
const longestWaitMs = defaultLimitsConfig.takeoverDelayMs + 1000;

export interface SlotReadiness {
    /** Stays true once it was true: under load an entry may lend or use all of its slots. */
    isReady(): boolean;
}

/**
 * Creates the check of one entry. A region without backend servers is ready after twice the longest wait, since its
 * requests go elsewhere.
 */
export function createSlotReadiness(
    clock: Clock,
    broker: SlotBroker,
    backends: BackendDirectory,
): SlotReadiness {
    let ready = false;
    let askedAt: number | undefined;
    let serversKnownAt: number | undefined;
    return {
        isReady: () => {
            if (ready || backends.listAgeMs() === undefined) {
                return ready;
            }
            askedAt ??= clock.now();
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
            const withSlots = confirmed.map(
                ({ key }) => backends.find(key.slice(0, key.lastIndexOf("/")))?.service,
            );
            const hasSlots = services.size > 0 && [...services].every(service => withSlots.includes(service));
            const startedAt = serversKnownAt ?? askedAt + longestWaitMs;
            ready = hasSlots || clock.now() - startedAt > longestWaitMs;
            return ready;
        },
    };
}
