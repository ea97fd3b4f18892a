/** Registers the carrier with its records, metrics and traces. */
import {
    createCarrier,
    createConnectionPools,
    createRequestRecords,
    createRouteTable,
} from "@waxwingdale/carrier";
import type { RequestRecord, RouteTable } from "@waxwingdale/carrier";
import type { AcceptedConfig } from "@waxwingdale/config";
import { createEventLoopMonitor } from "@waxwingdale/core";
import { createRetryBudget } from "@waxwingdale/limits";
import type { RetryBudget } from "@waxwingdale/limits";
import type { ReportMeter } from "@waxwingdale/reports";
import { createTraceRecorder } from "@waxwingdale/trace";
import { createEntryMetrics } from "./entry-metrics.js";
import { createTraceTap } from "./trace-tap.js";
import { tokens } from "./entry-tokens.js";
import type { RegisterComponent } from "./entry-tokens.js";

/** Interval in milliseconds at which the readiness is updated and the delay of the event loop is measured. */
export const tickIntervalMs = 100;
/** Retry ratio of non-idempotent routes. Their requests are retried only if they certainly did not run. */
const nonIdempotentRetryRatio = 0.1;

export function composeTrace(add: RegisterComponent): void {
    add(tokens.trace, get => {
        const { settings, clock, signal } = get(tokens.context);
        const recorder = createTraceRecorder({ entry: settings.id, region: settings.region, clock });
        signal.addEventListener("abort", () => recorder.close(), { once: true });
        return recorder;
    });
    add(tokens.traceTap, get => {
        const { settings, clock, fleetKey } = get(tokens.context);
        return createTraceTap({ recorder: get(tokens.trace), entry: settings.id, clock, fleetKey });
    });
}

export function composeCarrier(add: RegisterComponent): void {
    add(tokens.eventLoop, get => createEventLoopMonitor(get(tokens.context).clock, tickIntervalMs));
    add(tokens.pools, get => createConnectionPools(() => get(tokens.context).clock.now()));
    add(tokens.records, get => createRequestRecords(get(tokens.context).settings.requestRecords));
    add(tokens.metrics, () => createEntryMetrics());
    add(tokens.carrier, get => {
        const { settings, clock, logger, fleetKey } = get(tokens.context);
        const config = get(tokens.config);
        const meter = get(tokens.meter);
        const trace = get(tokens.traceTap);
        return createCarrier({
            id: settings.id,
            region: settings.region,
            clock,
            eventLoop: get(tokens.eventLoop),
            logger,
            fleetKey,
            view: get(tokens.membership),
            slots: get(tokens.broker),
            claims: get(tokens.traceTap).instrumentClaims(get(tokens.claims)),
            crashGuard: get(tokens.crashGuard),
            links: get(tokens.links),
            steering: get(tokens.steering),
            pools: get(tokens.pools),
            records: get(tokens.records),
            metrics: get(tokens.metrics),
            routes: createRouteTableGetter(config),
            retryBudget: createRetryBudgetGetter(config),
            maxOutcomeBytes: () => config.current()?.manifest.claims.maxOutcomeBytes ?? 0,
            findHomeRegion: client => get(tokens.lookups).findHomeRegion(client) ?? settings.region,
            markDraining: serverId => get(tokens.backends).markDraining(serverId),
            onFinished: record => {
                recordFinished(meter, record, settings.region);
                trace.recordRequest(record);
            },
        });
    });
}

function recordFinished(meter: ReportMeter, record: RequestRecord, region: string): void {
    meter.recordRequest(record);
    const last = record.attempts.at(-1);
    if (last?.region === region && last.result === "ran") {
        meter.recordServiceTime(record.service, last.ms);
    }
}

/** Returns a getter for the routes of the active manifest. The table is built once per generation. */
function createRouteTableGetter(config: AcceptedConfig): () => RouteTable | undefined {
    let generation = 0;
    let table: RouteTable | undefined;
    return () => {
        const accepted = config.current();
        if (accepted !== undefined && accepted.generation !== generation) {
            generation = accepted.generation;
            table = createRouteTable(accepted.manifest.services);
        }
        return table;
    };
}

/** Returns a getter for the retry budget of a route. Each generation of the manifest starts with new budgets. */
function createRetryBudgetGetter(config: AcceptedConfig): (service: string, route: string) => RetryBudget {
    let generation = 0;
    let budgets = new Map<string, RetryBudget>();
    return (service, route) => {
        const accepted = config.current();
        if (accepted !== undefined && accepted.generation !== generation) {
            generation = accepted.generation;
            budgets = new Map();
        }
        const key = `${service}/${route}`;
        let budget = budgets.get(key);
        if (budget === undefined) {
            const spec = accepted?.manifest.services
                .find(({ name }) => name === service)
                ?.routes.find(({ name }) => name === route);
            budget = createRetryBudget(
                spec?.idempotent === true ? spec.retryBudget : nonIdempotentRetryRatio,
            );
            budgets.set(key, budget);
        }
        return budget;
    };
}
