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
    /** Manifest in force. */
    accepted(): AcceptedManifest | undefined;
    /**
     * Time in milliseconds between steps of the ramp.
     * @default 100
     */
    tickMs?: number;
    /**
     * Time in milliseconds for which a greater share of a cap is not used yet. Members must learn of a change of the
     * region's members in this time less one second.
     * @default 5000
     */
    holdDownMs?: number;
}

/** What an entry applies to one pair of regions, for the state dump. */
export interface AppliedShift {
    from: string;
    to: string;
    /** Rate that the ramp has reached, in requests per second. */
    ratePerSecond: number;
    /** Requests that this entry may shift in any second by its share of the cap. */
    maxPerSecond: number;
}

export interface EntrySteering extends TrafficSteering {
    /**
     * Chooses the region that serves a request. `home` is the home region of the caller's block; without it, the
     * request counts as traffic of the entry's region.
     */
    chooseRegion(service: string, requestClass: RequestClass, home?: string): SteeringDecision;
    /** Takes a plan over and returns true, or refuses one that is not newer than the plan in force. */
    applyPlan(plan: PlanObject): boolean;
    currentPlan(): PlanObject | undefined;
    /** Records that the entry's region has no backend server for the service at this moment. */
    recordNoLocalBackend(service: string): void;
    /** Runs the ramp until the signal aborts. Nothing is shifted before it runs. */
    run(signal: AbortSignal): Promise<void>;
    applied(): AppliedShift[];
}

/** Time in milliseconds for which a service without backend servers is tried elsewhere before it is tried at home. */
const localUnavailableMs = 2000;
/**
 * Time without a tick in milliseconds after which the process counts as paused. It is shorter than the time after which
 * peers take a silent entry for dead, so a resumed entry gives its share up before others use it.
 */
const pauseMs = 2000;
/** Longest time in seconds that one step of the ramp makes up for. */
const maxTickSeconds = 1;
/** An entry may shift this much more than its part of the plan, since callers are not spread evenly over entries. */
const planSlack = 1.25;

interface Pair {
    cap: ShiftCapSpec;
    meter: ShiftLimiter;
    ratePerSecond: number;
    maxPerSecond: number;
}

export function createTrafficSteering(options: TrafficSteeringOptions): EntrySteering {
    const { view, clock, logger } = options;
    const tickMs = options.tickMs ?? 100;
    const holdMs = options.holdDownMs ?? 5000;
    const share = createInstanceShare(view, clock, holdMs);
    const emptied = createRegionSetHistory(clock);
    const dead = createRegionSetHistory(clock);
    const pairs = new Map<string, Pair>();
    const selectors = new Map<string, RegionSelector>();
    const unavailableUntil = new Map<string, number>();
    let plan: PlanObject | undefined;
    let routes = new Map<string, PlanRoute>();
    let manifest: Manifest | undefined;
    let targets: string[] = [];
    let deadRegions: ReadonlySet<string> = new Set();
    let lastTickAt = clock.now();
    const ownRegion = () => view.self().region;

    /** Share of a pair's cap that entries of this region may use. */
    const getCapShare = (cap: ShiftCapSpec): number => {
        if (cap.from === ownRegion()) {
            return emptied.containedWithin(cap.from, holdMs) ? directCapShare : 1;
        }
        if (dead.containedFor(cap.from, holdMs)) {
            return 1;
        }
        return emptied.containedFor(cap.from, holdMs) ? directCapShare : 0;
    };

    const getWantedRate = (cap: ShiftCapSpec, maxPerSecond: number): number => {
        const isFallback =
            cap.from === ownRegion() && [...unavailableUntil.values()].some(until => until > clock.now());
        return isFallback
            ? maxPerSecond
            : Math.min(maxPerSecond, sumPlannedShift(plan, cap.from, cap.to) * planSlack * share.fraction());
    };

    /** A plan that was cut because a limit binds now is followed at once, other decreases at the ramp. */
    const isCut = (cap: ShiftCapSpec): boolean =>
        plan?.routes.some(
            route =>
                route.home === cap.from &&
                route.shifts.some(shift => shift.region === cap.to && shift.reducedBy !== undefined),
        ) ?? false;

    const stepPair = (pair: Pair, seconds: number): void => {
        const { cap } = pair;
        pair.maxPerSecond = share.count(cap.maxRequestsPerSecond * getCapShare(cap));
        const wanted = getWantedRate(cap, pair.maxPerSecond);
        const step = cap.maxIncreasePerSecond * share.fraction() * seconds;
        if (wanted >= pair.ratePerSecond) {
            pair.ratePerSecond = Math.min(wanted, pair.ratePerSecond + step);
        } else {
            const floor = isCut(cap) ? wanted : Math.max(wanted, pair.ratePerSecond - step);
            pair.ratePerSecond = Math.min(floor, pair.maxPerSecond);
        }
        pair.meter.setLimit(pair.maxPerSecond, pair.ratePerSecond);
    };

    const readManifest = (): void => {
        const current = options.accepted()?.manifest;
        if (current === manifest || current === undefined) {
            return;
        }
        manifest = current;
        targets = rankTargets(manifest).get(ownRegion()) ?? [];
        const caps = manifest.shiftCaps.filter(cap => cap.from === ownRegion() || cap.to === ownRegion());
        const keys = new Set(caps.map(cap => pairKey(cap.from, cap.to)));
        for (const cap of caps) {
            const key = pairKey(cap.from, cap.to);
            const known = pairs.get(key);
            if (known) {
                known.cap = cap;
            } else {
                pairs.set(key, { cap, meter: createShiftLimiter(clock), ratePerSecond: 0, maxPerSecond: 0 });
            }
        }
        for (const key of [...pairs.keys()].filter(key => !keys.has(key))) {
            pairs.delete(key);
        }
    };

    /** Gives up everything that was granted before a pause of the process. */
    const restartAfterPause = (): void => {
        logger.warn("steering-paused", { ms: Math.round(clock.now() - lastTickAt) });
        share.restart();
        for (const pair of pairs.values()) {
            pair.ratePerSecond = 0;
            pair.meter.setLimit(0, 0);
        }
    };

    const tick = (): void => {
        const elapsedMs = clock.now() - lastTickAt;
        if (elapsedMs > pauseMs) {
            restartAfterPause();
        }
        lastTickAt = clock.now();
        readManifest();
        share.update();
        if (manifest) {
            deadRegions = findDeadRegions(view, manifest, deadRegions);
            dead.update(deadRegions);
            emptied.update(findFullyShiftedRegions(plan, manifest));
        }
        const seconds = Math.min(elapsedMs / 1000, maxTickSeconds);
        for (const pair of pairs.values()) {
            stepPair(pair, seconds);
        }
    };

    const takeShift = (from: string, to: string): boolean =>
        pairs.get(pairKey(from, to))?.meter.tryAcquire() ?? false;

    const canServe = (service: string, region: string): boolean => {
        const spec = manifest?.services.find(({ name }) => name === service);
        const isOpen = spec?.sites.some(({ site: name }) => {
            const site = manifest!.sites.find(row => row.name === name);
            return site?.region === region && !isSiteDrained(manifest!, service, site, clock.wallTime());
        });
        return isOpen === true && view.liveInRegion(region).some(member => member.ready);
    };

    /**
     * Chooses for a caller of another region. While that region is not known to be lost, its own entries may use the whole
     * cap, so the request goes home; without an entry there to take it, it is refused until the loss is known. Returns
     * undefined for a region that has no entries at all, whose callers count as those of this region.
     */
    const chooseForForeignCaller = (home: string): SteeringDecision | undefined => {
        const region = ownRegion();
        if (dead.containedWithin(home, 0) || emptied.containedFor(home, holdMs)) {
            const reason = takeShift(home, region) ? SteeringReason.Plan : SteeringReason.ShiftCap;
            return { region, reason };
        }
        if (view.liveInRegion(home).length > 0) {
            return { region: home, reason: SteeringReason.Home };
        }
        const isKnown = view.members().some(member => member.region === home);
        return isKnown ? { region, reason: SteeringReason.ShiftCap } : undefined;
    };

    /** Chooses another region for a service that has no backend server at home. */
    const chooseFallback = (service: string): SteeringDecision => {
        const region = ownRegion();
        const planned = routes.get(service)?.shifts.map(shift => shift.region) ?? [];
        const candidates = [...new Set([...planned, ...targets])].filter(to => canServe(service, to));
        for (const to of candidates) {
            if (takeShift(region, to)) {
                return { region: to, reason: SteeringReason.NoLocalBackend };
            }
        }
        // Without any candidate the request stays, and the limiter refuses it for want of a backend server.
        return { region, reason: candidates.length > 0 ? SteeringReason.ShiftCap : SteeringReason.Home };
    };

    const choosePlanned = (route: PlanRoute, requestClass: RequestClass): SteeringDecision => {
        const region = ownRegion();
        const canStay = route.homePerSecond > 0;
        const picked = getSelector(route, requestClass).pick();
        if (picked === region && canStay) {
            return { region, reason: SteeringReason.Home };
        }
        const others = canStay ? [] : route.shifts.map(shift => shift.region);
        for (const to of picked === undefined ? others : [picked, ...others]) {
            if (to !== region && takeShift(region, to)) {
                return { region: to, reason: SteeringReason.Plan };
            }
        }
        return { region, reason: canStay ? SteeringReason.Home : SteeringReason.ShiftCap };
    };

    /** Each class has its own selector, so that a pattern of classes in the arrivals does not skew their shares. */
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
            if (clock.now() - lastTickAt > pauseMs) {
                tick();
            }
            const region = ownRegion();
            if (home !== undefined && home !== region && plan !== undefined) {
                const decision = chooseForForeignCaller(home);
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
            // A plan that takes this region for dead was made behind a partition: this entry is alive to serve.
            const own = next.routes.filter(route => route.home === ownRegion() && !hasDeadHomeRegion(route));
            routes = new Map(own.map(route => [route.service, route]));
            for (const [key, selector] of selectors) {
                const route = findRoute(next, key.split("\n")[0]!, ownRegion());
                if (route) {
                    setWeights(selector, route);
                }
            }
            return true;
        },
        currentPlan: () => plan,
        recordNoLocalBackend: service => {
            unavailableUntil.set(service, clock.now() + localUnavailableMs);
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
