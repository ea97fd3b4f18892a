/** Composes the decisions: balancer, admission, quotas and retry budgets. */
import { createAdmissionControl, createBalancer, createWindowedRetryBudget } from "@waxwingdale/balancing";
import type { WindowedRetryBudget } from "@waxwingdale/balancing";
import type { Resolve } from "@waxwingdale/core";
import { tokens } from "./gateway-tokens.js";
import type { RegisterComponent } from "./gateway-tokens.js";
import { createInstanceCounts } from "./instance-counts.js";
import { createLoadReportExchange } from "./load-report-exchange.js";
import { createQuotaExchange, takeoverMs } from "./quota-exchange.js";
import type { QuotaExchange } from "./quota-exchange.js";

/** Registers the components that decide where a request goes, and when. */
export function composeBalancing(add: RegisterComponent): void {
    add(tokens.balancer, get => {
        const { clock, settings, logger } = get(tokens.context);
        const topology = get(tokens.topology);
        return createBalancer({
            clock,
            table: get(tokens.table),
            zone: settings().zone,
            region: settings().region,
            regions: new Set(Object.values(settings().zones)).size,
            maxRegionShift: settings().bounds.maxRegionShift,
            countInstances: () => topology.inZone(settings().zone).length,
            onSpilloverChange: (service, part, { slots, busy, allSlots }) =>
                logger.info("region-spill", {
                    service,
                    part: part.toFixed(2),
                    slots,
                    busy: busy.toFixed(1),
                    allSlots,
                }),
            onReportUsed: (service, ageMs) => get(tokens.metrics).observeReportAge(service, ageMs),
        });
    });
    add(tokens.loadReports, get => {
        const { self, settings, clock, logger } = get(tokens.context);
        return createLoadReportExchange({
            table: get(tokens.table),
            selfId: self.id,
            activeInRegion: () => get(tokens.topology).inRegion(settings().region),
            members: () => get(tokens.membership).members(),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            logger,
        });
    });
    add(tokens.admission, get =>
        createAdmissionControl({
            clock: get(tokens.context).clock,
            balancer: get(tokens.balancer),
            workspaces: () => get(tokens.config).current()?.workspaces,
            random: get(tokens.context).random,
        }),
    );
    add(tokens.quota, get => composeQuota(get));
    add(tokens.retryBudgets, get => {
        const { clock, settings } = get(tokens.context);
        const { retryRatio, retrySlack, retryWindowSeconds } = settings().bounds;
        const startedAt = clock.now();
        const budgets = new Map<string, WindowedRetryBudget>();
        return service => {
            let budget = budgets.get(service);
            if (budget === undefined) {
                budget = createWindowedRetryBudget({
                    windowMs: retryWindowSeconds * 1000,
                    ratio: retryRatio,
                    slack: retrySlack,
                    instances: () => get(tokens.topology).budgetDivisor(),
                    startedAt,
                });
                budgets.set(service, budget);
            }
            return budget;
        };
    });
}

function composeQuota(get: Resolve): QuotaExchange {
    const { logger, settings } = get(tokens.context);
    // Tokens expire and owners change while an instance is suspended, which the monotonic clock does not count. Suspensions are
    // detected where `revokeSeconds` is declared.
    const clock = get(tokens.viewClock);
    const membership = get(tokens.membership);
    const topology = get(tokens.topology);
    const members = () => membership;
    const seeds = () => settings().seeds;
    const counts = createInstanceCounts({
        clock,
        topology,
        members,
        seeds,
        isAlone: () => membership.isAlone(),
        riseDelayMs: takeoverMs,
    });
    const exchange = createQuotaExchange({
        members,
        topology,
        counts,
        isJoined: get(tokens.isEstablished),
        bounds: () => {
            const { quotaWindowSeconds, quotaOverage, quotaSlack } = settings().bounds;
            return { windowMs: quotaWindowSeconds * 1000, overage: quotaOverage, slack: quotaSlack };
        },
        transport: get(tokens.rpcClient),
        rpc: get(tokens.rpcServer),
        clock,
        logger,
    });
    get(tokens.config).onChange(({ workspaces }) => exchange.setWorkspaces(workspaces));
    return exchange;
}
