/**
 * Metrics of a gateway instance in the Prometheus format. Labels have few values: kinds, services, zones, outcomes.
 * Route names are not used as labels, since configurations add and rename routes.
 */
import { addGauge } from "@waxwingdale/core";
import type { LossExamination, RequestRecord, SkippedResponse } from "@waxwingdale/relay";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { QuotaTotals } from "./quota-exchange.js";

/** Upper bounds of the latency buckets in seconds. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5];

export interface GatewayMetrics {
    registry: Registry;
    observe(record: RequestRecord): void;
    /** Observes the age in milliseconds of the load report that a server was chosen by. */
    observeReportAge(service: string, ageMs: number): void;
    countLookup(): void;
    countExamination(examination: LossExamination): void;
    countSkipped(service: string, skipped: SkippedResponse): void;
    /** Adds a gauge whose value is read at collection time. */
    addGauge(name: string, help: string, read: () => number): void;
    /** Adds a gauge for the spread of the slots in use; `read` returns standard deviations by service. */
    addUtilizationSpreads(read: () => ReadonlyMap<string, number>): void;
    /** Adds a gauge for the view age of each store prefix; `read` returns the ages in milliseconds. */
    addViewAges(read: () => ReadonlyMap<string, number>): void;
    /** Adds the totals of all workspaces; there may be hundreds, so their names are not labels. */
    addQuotaTotals(read: () => QuotaTotals): void;
}

export function createGatewayMetrics(): GatewayMetrics {
    const registry = new Registry();
    const requests = new Counter({
        name: "waxwingdale_gateway_requests_total",
        help: "Requests by kind, service, outcome and status",
        labelNames: ["kind", "service", "outcome", "status"],
        registers: [registry],
    });
    const latency = new Histogram({
        name: "waxwingdale_gateway_request_seconds",
        help: "Time from the head of a request to its answer",
        labelNames: ["kind", "service", "outcome"],
        buckets: latencyBuckets,
        registers: [registry],
    });
    const waits = new Histogram({
        name: "waxwingdale_gateway_wait_seconds",
        help: "Time that a request waited for a backend server with room",
        labelNames: ["service"],
        buckets: latencyBuckets,
        registers: [registry],
    });
    const unread = new Histogram({
        name: "waxwingdale_gateway_unread_seconds",
        help: "Maximum time for which a request may have been pending before a late process read it",
        labelNames: ["outcome"],
        buckets: latencyBuckets,
        registers: [registry],
    });
    const attempts = new Counter({
        name: "waxwingdale_gateway_attempts_total",
        help: "Sends to backend servers by service, availability zone and result",
        labelNames: ["service", "zone", "result"],
        registers: [registry],
    });
    const reportAges = new Histogram({
        name: "waxwingdale_gateway_load_report_age_seconds",
        help: "Age of the newest load report of a backend server when a request is sent to it",
        labelNames: ["service"],
        buckets: latencyBuckets,
        registers: [registry],
    });
    const lookups = new Counter({
        name: "waxwingdale_gateway_lookups_total",
        help: "Look-ups of clients",
        registers: [registry],
    });
    const examinations = new Counter({
        name: "waxwingdale_gateway_lost_server_examinations_total",
        help: "Examinations of backend servers that did not respond to a request, by how the attempt ended and the verdict",
        labelNames: ["loss", "verdict"],
        registers: [registry],
    });
    const skippedResponses = new Counter({
        name: "waxwingdale_gateway_skipped_responses_total",
        help: "Responses of backend servers that are not those to the request in flight, by service and reason",
        labelNames: ["service", "reason"],
        registers: [registry],
    });
    const keyRejections = new Counter({
        name: "waxwingdale_gateway_key_rejections_total",
        help: "Requests rejected for an unknown key, or since the view of the configuration may be too old for keys",
        labelNames: ["reason"],
        registers: [registry],
    });
    return {
        registry,
        observe: ({
            kind = "none",
            service,
            outcome,
            status,
            unreadMs,
            tookMs,
            waitedMs,
            denial,
            attempts: sends,
        }) => {
            if (denial !== undefined) {
                keyRejections.inc({ reason: denial });
            }
            requests.inc({ kind, service, outcome, status });
            latency.observe({ kind, service, outcome }, tookMs / 1000);
            waits.observe({ service }, waitedMs / 1000);
            if (unreadMs > 0) {
                unread.observe({ outcome }, unreadMs / 1000);
            }
            for (const { zone, result } of sends) {
                attempts.inc({ service, zone, result: result.split(":", 1)[0] });
            }
        },
        observeReportAge: (service, ageMs) => reportAges.observe({ service }, ageMs / 1000),
        countLookup: () => lookups.inc(),
        countSkipped: (service, { mismatch }) => skippedResponses.inc({ service, reason: mismatch }),
        countExamination: ({ loss, verdict }) => examinations.inc({ loss, verdict }),
        addQuotaTotals: read => {
            const add = (name: string, help: string, pick: (totals: QuotaTotals) => number) =>
                new Counter({
                    name: `waxwingdale_gateway_quota_${name}_total`,
                    help,
                    registers: [registry],
                    collect() {
                        this.reset();
                        this.inc(pick(read()));
                    },
                });
            add("rejections", "Requests over the quotas of their workspaces", ({ rejected }) => rejected);
            add("unknown", "Requests whose quota was not known in time", ({ unavailable }) => unavailable);
            add("borrowed_tokens", "Tokens borrowed from other instances", ({ borrowed }) => borrowed);
            add("calls", "Calls to owners of workspaces", ({ calls }) => calls);
            addGauge(
                registry,
                "waxwingdale_gateway_quota_debt",
                "Requests admitted ahead of tokens",
                () => read().debt,
            );
        },
        addGauge: (name, help, read) => addGauge(registry, name, help, read),
        addUtilizationSpreads: read => {
            new Gauge({
                name: "waxwingdale_gateway_utilization_spread",
                help: "Standard deviation of the estimated slot utilization over the usable servers of the region",
                labelNames: ["service"],
                registers: [registry],
                collect() {
                    // Services of an earlier configuration are left out.
                    this.reset();
                    read().forEach((spread, service) => this.set({ service }, spread));
                },
            });
        },
        addViewAges: read => {
            new Gauge({
                name: "waxwingdale_gateway_store_view_age_seconds",
                help: "Age of what the instance knows of a prefix of the store",
                labelNames: ["prefix"],
                registers: [registry],
                collect() {
                    read().forEach((ageMs, prefix) => this.set({ prefix }, ageMs / 1000));
                },
            });
        },
    };
}
