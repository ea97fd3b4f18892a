/** Applies the traffic plan at one entry instance, within its share of each ramp and cap. */
import { SteeringReason } from "@waxwingdale/core";
import type {
    Clock,
    Logger,
    MemberView,
    RequestClass,
    SteeringDecision,
    TrafficSteering,
} from "@waxwingdale/core";
import type { AcceptedManifest, Manifest, ShiftCapSpec } from "@waxwingdale/manifest";
import {
    createRegionSetHistory,
    directCapShare,
    findDeadRegions,
    findFullyShiftedRegions,
} from "./direct-access.js";
import { isSiteDrained } from "@waxwingdale/manifest";
import { createInstanceShare } from "./instance-share.js";
import { pairKey, rankTargets } from "./plan-state.js";
import { findRoute, hasDeadHomeRegion, isNewerPlan, sumPlannedShift } from "./plan-types.js";
import type { PlanObject, PlanRoute } from "./plan-types.js";
import { createRegionSelector } from "./region-selector.js";
import type { RegionSelector } from "./region-selector.js";
import { createShiftLimiter } from "./shift-limiter.js";
import type { ShiftLimiter } from "./shift-limiter.js";

export interface TrafficSteeringOptions {
    view: MemberView;
    clock: Clock;
    logger: Logger;
    /** Active manifest. */
    accepted(): AcceptedManifest | undefined;
    /**
     * Milliseconds between steps of the ramp.
     * @default 100
     */
    tickMs?: number;
    /**
     * Hold-down time: milliseconds until an increased share of a cap is used. Changes of a region's members must reach
     * all members within this time minus one second.
     * @default 5000
     */
    holdDownMs?: number;
}

/** Limits that an entry applies to one pair of regions, for the state dump. */
export interface AppliedShift {
    from: string;
    to: string;
    /** Rate that the ramp has reached, in requests per second. */
    ratePerSecond: number;
    /** Maximum number of requests that this entry may shift in any second, by its share of the cap. */
    maxPerSecond: number;
}

export interface EntrySteering extends TrafficSteering {
    /**
     * Chooses the region that serves a request. `home` is the home region of the caller's client block; without it, the
     * request counts as traffic of the entry's region.
     */
    chooseRegion(service: string, requestClass: RequestClass, home?: string): SteeringDecision;
    /** Applies a plan. Returns false if it is not newer than the active one. */
    applyPlan(plan: PlanObject): boolean;
    currentPlan(): PlanObject | undefined;
    /** Records that the entry's region currently has no backend server for the service. */
    recordNoLocalBackend(service: string): void;
    /** Runs the ramp until the signal aborts. Nothing is shifted before the first step. */
    run(signal: AbortSignal): Promise<void>;
    applied(): AppliedShift[];
}

/** Milliseconds for which requests go to other regions after a service had no local backend server. */
const fallbackDurationMs = 2000;
/**
 * Milliseconds without a tick after which the process is considered paused. Shorter than the time after which peers
 * declare an unresponsive entry dead, so that a resumed entry releases its share before others use it.
 */
const pauseThresholdMs = 2000;
/** Maximum time that one step of the ramp covers, in seconds. */
const maxTickSeconds = 1;
/** Factor by which an entry may exceed its share of the plan, since callers are not spread evenly over entries. */
const planSlack = 1.25;

interface PairRamp {
    cap: ShiftCapSpec;
    limiter: ShiftLimiter;
    ratePerSecond: number;
    maxPerSecond: number;
}

export function createTrafficSteering(options: TrafficSteeringOptions): EntrySteering {
    const { view, clock, logger } = options;
    const tickMs = options.tickMs ?? 100;
    const holdDownMs = options.holdDownMs ?? 5000;
    const instanceShare = createInstanceShare(view, clock, holdDownMs);
    const fullyShiftedHistory = createRegionSetHistory(clock);
    const deadHistory = createRegionSetHistory(clock);
    const pairs = new Map<string, PairRamp>();
    const selectors = new Map<string, RegionSelector>();
    const unavailableUntil = new Map<string, number>();
    let plan: PlanObject | undefined;
    let routes = new Map<string, PlanRoute>();
    let manifest: Manifest | undefined;
    let targets: string[] = [];
    let deadRegions: ReadonlySet<string> = new Set();
    let lastTickAt = clock.now();
    const getLocalRegion = () => view.self().region;

    /** Returns the fraction of a pair's cap that the entries of this region may use. */
    const getCapShare = (cap: ShiftCapSpec): number => {
        if (cap.from === getLocalRegion()) {
            return fullyShiftedHistory.containedWithin(cap.from, holdDownMs) ? directCapShare : 1;
        }
        if (deadHistory.containedFor(cap.from, holdDownMs)) {
            return 1;
        }
        return fullyShiftedHistory.containedFor(cap.from, holdDownMs) ? directCapShare : 0;
    };

    const getTargetRate = (cap: ShiftCapSpec, maxPerSecond: number): number => {
        const isFallback =
            cap.from === getLocalRegion() &&
            [...unavailableUntil.values()].some(until => until > clock.now());
        return isFallback
            ? maxPerSecond
            : Math.min(
                  maxPerSecond,
                  sumPlannedShift(plan, cap.from, cap.to) * planSlack * instanceShare.fraction(),
              );
    };

    /** Whether a limit reduced the shift of a pair. Such decreases take effect immediately, others follow the ramp. */
    const isReduced = (cap: ShiftCapSpec): boolean =>
        plan?.routes.some(
            route =>
                route.home === cap.from &&
                route.shifts.some(shift => shift.region === cap.to && shift.reducedBy !== undefined),
        ) ?? false;

    const stepPair = (pair: PairRamp, seconds: number): void => {
        const { cap } = pair;
        pair.maxPerSecond = instanceShare.count(cap.maxRequestsPerSecond * getCapShare(cap));
        const targetRate = getTargetRate(cap, pair.maxPerSecond);
        const step = cap.maxIncreasePerSecond * instanceShare.fraction() * seconds;
        if (targetRate >= pair.ratePerSecond) {
            pair.ratePerSecond = Math.min(targetRate, pair.ratePerSecond + step);
        } else {
            const lowered = isReduced(cap) ? targetRate : Math.max(targetRate, pair.ratePerSecond - step);
            pair.ratePerSecond = Math.min(lowered, pair.maxPerSecond);
        }
        pair.limiter.setLimit(pair.maxPerSecond, pair.ratePerSecond);
    };

    const readManifest = (): void => {
        const current = options.accepted()?.manifest;
        if (current === manifest || current === undefined) {
            return;
        }
        manifest = current;
        targets = rankTargets(manifest).get(getLocalRegion()) ?? [];
        const caps = manifest.shiftCaps.filter(
            cap => cap.from === getLocalRegion() || cap.to === getLocalRegion(),
        );
        const keys = new Set(caps.map(cap => pairKey(cap.from, cap.to)));
        for (const cap of caps) {
            const key = pairKey(cap.from, cap.to);
            const known = pairs.get(key);
            if (known) {
                known.cap = cap;
            } else {
                pairs.set(key, {
                    cap,
                    limiter: createShiftLimiter(clock),
                    ratePerSecond: 0,
                    maxPerSecond: 0,
                });
            }
        }
        for (const key of [...pairs.keys()].filter(key => !keys.has(key))) {
            pairs.delete(key);
        }
    };

    /** Resets the share and all rates after a pause of the process. */
    const resetAfterPause = (): void => {
        logger.warn("steering-paused", { ms: Math.round(clock.now() - lastTickAt) });
        instanceShare.restart();
        for (const pair of pairs.values()) {
            pair.ratePerSecond = 0;
            pair.limiter.setLimit(0, 0);
        }
    };

    const tick = (): void => {
        const elapsedMs = clock.now() - lastTickAt;
        if (elapsedMs > pauseThresholdMs) {
            resetAfterPause();
        }
        lastTickAt = clock.now();
        readManifest();
        instanceShare.update();
        if (manifest) {
            deadRegions = findDeadRegions(view, manifest, deadRegions);
            deadHistory.update(deadRegions);
            fullyShiftedHistory.update(findFullyShiftedRegions(plan, manifest));
        }
        const seconds = Math.min(elapsedMs / 1000, maxTickSeconds);
        for (const pair of pairs.values()) {
            stepPair(pair, seconds);
        }
    };

    const tryShift = (from: string, to: string): boolean =>
        pairs.get(pairKey(from, to))?.limiter.tryAcquire() ?? false;

    const canServe = (service: string, region: string): boolean => {
        const spec = manifest?.services.find(({ name }) => name === service);
        const hasUndrainedSite = spec?.sites.some(({ site: name }) => {
            const site = manifest!.sites.find(row => row.name === name);
            return site?.region === region && !isSiteDrained(manifest!, service, site, clock.wallTime());
        });
        return hasUndrainedSite === true && view.liveInRegion(region).some(member => member.ready);
    };

    /**
     * Chooses the region for a caller from another region. Until that region is known to be dead, its own entries may
     * use the whole cap, so the request goes to its home region. If no entry there is live, it is rejected until the
     * region is known to be dead. Returns undefined for a region without any entries, whose callers count as those of
     * this region.
     */
    const chooseForRemoteCaller = (home: string): SteeringDecision | undefined => {
        const region = getLocalRegion();
        if (deadHistory.containedWithin(home, 0) || fullyShiftedHistory.containedFor(home, holdDownMs)) {
            const reason = tryShift(home, region) ? SteeringReason.Plan : SteeringReason.ShiftCap;
            return { region, reason };
        }
        if (view.liveInRegion(home).length > 0) {
            return { region: home, reason: SteeringReason.Home };
        }
        const hasEntries = view.members().some(member => member.region === home);
        return hasEntries ? { region, reason: SteeringReason.ShiftCap } : undefined;
    };

    /** Chooses another region for a service without local backend servers. */
    const chooseFallback = (service: string): SteeringDecision => {
        const region = getLocalRegion();
        const planned = routes.get(service)?.shifts.map(shift => shift.region) ?? [];
        const candidates = [...new Set([...planned, ...targets])].filter(to => canServe(service, to));
        for (const to of candidates) {
            if (tryShift(region, to)) {
                return { region: to, reason: SteeringReason.NoLocalBackend };
            }
        }
        // Without candidates the request stays local and is later rejected for lack of a backend server.
        return { region, reason: candidates.length > 0 ? SteeringReason.ShiftCap : SteeringReason.Home };
    };

    const choosePlanned = (route: PlanRoute, requestClass: RequestClass): SteeringDecision => {
        const region = getLocalRegion();
        const isHomeAllowed = route.homePerSecond > 0;
        const picked = getSelector(route, requestClass).pick();
        if (picked === region && isHomeAllowed) {
            return { region, reason: SteeringReason.Home };
        }
        const alternatives = isHomeAllowed ? [] : route.shifts.map(shift => shift.region);
        for (const to of picked === undefined ? alternatives : [picked, ...alternatives]) {
            if (to !== region && tryShift(region, to)) {
                return { region: to, reason: SteeringReason.Plan };
            }
        }
        return { region, reason: isHomeAllowed ? SteeringReason.Home : SteeringReason.ShiftCap };
    };

    /** Each class has its own selector, so that a pattern in the order of classes does not skew their shares. */
    const getSelector = (route: PlanRoute, requestClass: RequestClass): RegionSelector => {
        const key = pairKey(route.service, requestClass);
        let selector = selectors.get(key);
        if (!selector) {
            selector = createRegionSelector();
            selectors.set(key, selector);
            setWeights(selector, route);
        }
        return selector;
    };

    const setWeights = (selector: RegionSelector, route: PlanRoute): void => {
        const shares = route.shifts.map(shift => [shift.region, shift.share] as const);
        const home = Math.max(0, 1 - shares.reduce((sum, [, value]) => sum + value, 0));
        selector.setWeights(new Map([[route.home, home], ...shares]));
    };

    return {
        chooseRegion: (service, requestClass, home) => {
            if (clock.now() - lastTickAt > pauseThresholdMs) {
                tick();
            }
            const region = getLocalRegion();
            if (home !== undefined && home !== region && plan !== undefined) {
                const decision = chooseForRemoteCaller(home);
                if (decision !== undefined) {
                    return decision;
                }
            }
            if ((unavailableUntil.get(service) ?? -Infinity) > clock.now()) {
                return chooseFallback(service);
            }
            const route = routes.get(service);
            if (!route || route.shifts.length === 0) {
                return { region, reason: SteeringReason.Home };
            }
            return choosePlanned(route, requestClass);
        },
        applyPlan: next => {
            if (!isNewerPlan(next, plan)) {
                return false;
            }
            plan = next;
            // Routes that treat this region as dead were planned during a network partition: this entry is alive.
            const own = next.routes.filter(
                route => route.home === getLocalRegion() && !hasDeadHomeRegion(route),
            );
            routes = new Map(own.map(route => [route.service, route]));
            for (const [key, selector] of selectors) {
                const route = findRoute(next, key.split("\n")[0]!, getLocalRegion());
                if (route) {
                    setWeights(selector, route);
                }
            }
            return true;
        },
        currentPlan: () => plan,
        recordNoLocalBackend: service => {
            unavailableUntil.set(service, clock.now() + fallbackDurationMs);
        },
        run: async signal => {
            while (!signal.aborted) {
                tick();
                await clock.sleep(tickMs, signal);
            }
        },
        applied: () =>
            [...pairs.values()].map(({ cap, ratePerSecond, maxPerSecond }) => ({
                from: cap.from,
                to: cap.to,
                ratePerSecond,
                maxPerSecond,
            })),
    };
}
