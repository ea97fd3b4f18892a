/** Checks drains: their places and intervals, and that each service keeps a site in service. */
import { parseIsoTime } from "../iso-time.js";
import { ProblemCode } from "../problem.js";
import type { DrainSpec, ServiceSpec } from "../types.js";
import { checkReference, asWarning } from "./check-context.js";
import type { CheckContext } from "./check-context.js";

/** A drain with its start and end in milliseconds since the epoch. */
interface DrainInterval {
    index: number;
    drain: DrainSpec;
    start: number;
    end: number;
}

export function checkDrains(ctx: CheckContext): void {
    const services = new Map(ctx.manifest.services.map(service => [service.name, service]));
    const intervals: DrainInterval[] = [];
    ctx.manifest.drains.forEach((drain, i) => {
        const places = [...ctx.sites.keys(), ...ctx.regions.keys()];
        const isKnownPlace = checkReference(ctx, "site or region", drain.place, places, [
            "drains",
            i,
            "place",
        ]);
        const isKnownService =
            drain.service === undefined ||
            checkReference(ctx, "service", drain.service, services.keys(), ["drains", i, "service"]);
        if (isKnownPlace && isKnownService) {
            checkEffect(ctx, drain, i);
        }
        const interval = checkInterval(ctx, drain, i);
        if (interval !== undefined) {
            intervals.push(interval);
        }
    });
    for (const service of services.values()) {
        checkRemainingSites(ctx, service, intervals);
    }
}

function checkEffect(ctx: CheckContext, drain: DrainSpec, i: number): void {
    const affected = ctx.manifest.services.flatMap(service => getDrainedSites(ctx, service, drain));
    if (affected.length === 0) {
        ctx.report(
            ["drains", i, "place"],
            asWarning({
                code: ProblemCode.NoEffect,
                message: `the drain of ${drain.service ?? "all services"} at "${drain.place}" has no effect, since there is nothing to drain`,
                expected: "a place where the drained service runs",
                fix: "correct the place or the service",
            }),
        );
    }
}

function checkInterval(ctx: CheckContext, drain: DrainSpec, index: number): DrainInterval | undefined {
    const parse = (key: "startsAt" | "endsAt", text: string) => {
        const time = parseIsoTime(text);
        if (time === undefined) {
            ctx.report(["drains", index, key], {
                code: ProblemCode.BadFormat,
                message: `"${text}" is not a valid time`,
                expected: "an existing date and time with a time zone, such as 2026-05-01T06:00:00+07:00",
                fix: "correct the time",
            });
        }
        return time;
    };
    const start = parse("startsAt", drain.startsAt);
    const end = drain.endsAt === undefined ? Infinity : parse("endsAt", drain.endsAt);
    if (start === undefined || end === undefined) {
        return undefined;
    }
    if (end <= start) {
        ctx.report(["drains", index, "endsAt"], {
            code: ProblemCode.DrainInterval,
            message: "the drain does not end after it starts",
            expected: `a time after ${drain.startsAt}`,
            fix: "correct startsAt or endsAt",
        });
        return undefined;
    }
    return { index, drain, start, end };
}

/** Returns the sites of a service that a drain takes out of service. */
function getDrainedSites(ctx: CheckContext, service: ServiceSpec, drain: DrainSpec): string[] {
    if (drain.service !== undefined && drain.service !== service.name) {
        return [];
    }
    return service.sites
        .map(row => row.site)
        .filter(site => site === drain.place || ctx.sites.get(site)?.region === drain.place);
}

/** Reports a service whose sites are all drained at some time; checking the start of each drain is enough. */
function checkRemainingSites(
    ctx: CheckContext,
    service: ServiceSpec,
    intervals: readonly DrainInterval[],
): void {
    for (const current of intervals) {
        const active = intervals.filter(other => other.start <= current.start && other.end > current.start);
        const drained = new Set(active.flatMap(({ drain }) => getDrainedSites(ctx, service, drain)));
        const isLast = active.every(other => other.start < current.start || other.index <= current.index);
        if (isLast && service.sites.every(row => drained.has(row.site))) {
            ctx.report(["drains", current.index], {
                code: ProblemCode.DrainsEverything,
                message: `from ${current.drain.startsAt}, no site of "${service.name}" is in service`,
                expected: "at least one site in service at any time",
                fix: "move the drain to another time or drain fewer sites",
            });
            return;
        }
    }
}
