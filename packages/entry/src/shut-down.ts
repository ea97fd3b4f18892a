/** Graceful shutdown of an entry: leaves the look-up answers first, then finishes what is in flight. */
import type { HttpObjectStore } from "@waxwingdale/store";
import { tokens } from "./entry-tokens.js";
import { EntryState } from "./entry-record.js";
import type { RunningEntry } from "./run-entry.js";

/** Time in milliseconds beyond the lifetime of look-up answers for which a stopping entry expects new requests. */
const lookupMarginMs = 1000;
/** Lifetime of look-up answers in seconds before there is a manifest. */
const initialTtlSeconds = 1;
/** Bound in seconds on the wait for requests in flight before there is a manifest. */
const initialMaxWaitSeconds = 5;
/** Time in milliseconds for the last record to reach the store. */
const lastRecordMs = 500;
const pollMs = 20;

/** Resolves when the entry has nothing left to do. */
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
    const bound = clock.now() + (manifest?.shutdown.maxWaitSeconds ?? initialMaxWaitSeconds) * 1000;
    const isBusy = () => carrier.inFlight() > 0 || resolve(tokens.claims).state().unacknowledged > 0;
    while (isBusy() && clock.now() < bound) {
        await clock.sleep(pollMs);
    }
    const cut = carrier.inFlight();
    await resolve(tokens.broker).close();
    resolve(tokens.entryRecord).write(EntryState.Stopped);
    await resolve(tokens.membership).announceStopped();
    await clock.sleep(lastRecordMs);
    entry.stopTasks();
    resolve(tokens.claims).close();
    resolve(tokens.links).close();
    resolve(tokens.crashGuard).close();
    resolve(tokens.lookups).close();
    await Promise.all([listeners.callers.close(), listeners.peers.close(), listeners.operators.close()]);
    resolve(tokens.rpcClient).close();
    await Promise.all([resolve(tokens.pools).close(), store.close()]);
    logger.info("shutdown-finished", { ms: Math.round(clock.now() - startedAt), cut });
}
