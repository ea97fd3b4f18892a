/** Graceful shutdown of an entry: it is removed from lookup responses first, then finishes the requests in flight. */
import type { HttpObjectStore } from "@waxwingdale/store";
import { tokens } from "./entry-tokens.js";
import { EntryState } from "./entry-record.js";
import type { RunningEntry } from "./run-entry.js";

/** Time beyond the TTL of lookup responses during which new requests may still arrive. */
const lookupMarginMs = 1000;
/** TTL of lookup responses until there is a manifest, in seconds. */
const initialTtlSeconds = 1;
/** Maximum wait for requests in flight until there is a manifest, in seconds. */
const initialMaxWaitSeconds = 5;
/** Time for the last record to be written to the store. */
const lastRecordDelayMs = 500;
const pollIntervalMs = 20;

/** Resolves once the entry has stopped. */
export async function shutDown(entry: RunningEntry, store: HttpObjectStore): Promise<void> {
    const { resolve, listeners, logger } = entry;
    const { clock } = resolve(tokens.context);
    const manifest = resolve(tokens.config).current()?.manifest;
    const carrier = resolve(tokens.carrier);
    const startedAt = clock.now();
    logger.info("shutdown-started", { inFlight: carrier.inFlight() });
    resolve(tokens.entryRecord).write(EntryState.Leaving);
    await resolve(tokens.membership).leave();
    listeners.callers.disableKeepAlive();
    await clock.sleep((manifest?.lookup.ttlSeconds ?? initialTtlSeconds) * 1000 + lookupMarginMs);
    const deadlineAt = clock.now() + (manifest?.shutdown.maxWaitSeconds ?? initialMaxWaitSeconds) * 1000;
    const isBusy = () => carrier.inFlight() > 0 || resolve(tokens.claims).state().unacknowledged > 0;
    while (isBusy() && clock.now() < deadlineAt) {
        await clock.sleep(pollIntervalMs);
    }
    const unfinished = carrier.inFlight();
    await resolve(tokens.broker).close();
    resolve(tokens.entryRecord).write(EntryState.Stopped);
    await resolve(tokens.membership).announceStopped();
    await clock.sleep(lastRecordDelayMs);
    entry.stopTasks();
    resolve(tokens.claims).close();
    resolve(tokens.links).close();
    resolve(tokens.crashGuard).close();
    resolve(tokens.lookups).close();
    await Promise.all([listeners.callers.close(), listeners.peers.close(), listeners.operators.close()]);
    resolve(tokens.rpcClient).close();
    await Promise.all([resolve(tokens.pools).close(), store.close()]);
    logger.info("shutdown-finished", { ms: Math.round(clock.now() - startedAt), cut: unfinished });
}
