/** Describes how a change of the manifest affects traffic. */
import { ChangeEffect, ChangeKind } from "./manifest-change.js";
import type { DrainSpec } from "./types.js";

export interface EffectDescription {
    effect: ChangeEffect;
    description: string;
}

/** Describes the effect of a change. In `path`, array items are in brackets. */
export function describeEffect(
    path: readonly string[],
    kind: ChangeKind,
    before: unknown,
    after: unknown,
): EffectDescription {
    const segments = path.map(segment => segment.replace(/^\[|\]$/g, ""));
    const [top = "", item = ""] = segments;
    const verb =
        kind === ChangeKind.Added ? "is added" : kind === ChangeKind.Removed ? "is removed" : "changes";
    switch (top) {
        case "regions":
        case "sites":
            return describePlace(top === "regions" ? "region" : "site", segments, verb, kind);
        case "services":
            return describeService(segments, verb, kind, before, after);
        case "drains":
            return describeDrain(segments, kind, (after ?? before) as DrainSpec | string);
        case "shiftCaps":
            return describeShiftCap(item, segments[2], kind, before, after);
        case "links":
            return {
                effect: ChangeEffect.LinkChanged,
                description: `the link ${item.replace(" ", " to ")} ${verb}; bulk transfers are paced accordingly`,
            };
        case "clientBlocks":
        case "defaultRegion":
            return { effect: ChangeEffect.ClientsMoved, description: describeClients(item, before, after) };
        case "deployment":
        case "formatVersion":
        case "storeRegion":
            return { effect: ChangeEffect.DeploymentChanged, description: `${top} ${verb} for every entry` };
        default:
            return {
                effect: ChangeEffect.LimitChanged,
                description: `the limit ${segments.join(".")} ${verb}`,
            };
    }
}

function describePlace(
    kindOfPlace: string,
    segments: readonly string[],
    verb: string,
    kind: ChangeKind,
): EffectDescription {
    const [, name, field, zone] = segments;
    const effects = {
        [ChangeKind.Added]: ChangeEffect.PlaceAdded,
        [ChangeKind.Removed]: ChangeEffect.PlaceRemoved,
        [ChangeKind.Changed]: ChangeEffect.PlaceChanged,
    };
    const what =
        zone !== undefined
            ? `availability zone ${zone} of the ${kindOfPlace} ${name}`
            : `${kindOfPlace} ${name}`;
    const detail = field === undefined || zone !== undefined ? verb : `changes ${field}`;
    return { effect: effects[kind], description: `the ${what} ${detail}` };
}

function describeService(
    segments: readonly string[],
    verb: string,
    kind: ChangeKind,
    before: unknown,
    after: unknown,
): EffectDescription {
    const [, service, section, item, field] = segments;
    if (section === undefined) {
        const effect = kind === ChangeKind.Removed ? ChangeEffect.ServiceRemoved : ChangeEffect.ServiceAdded;
        return { effect, description: `the service ${service} ${verb}` };
    }
    if (section === "routes") {
        const detail = field === undefined ? verb : `changes ${field}`;
        return {
            effect: ChangeEffect.RouteChanged,
            description: `the route ${item} of ${service} ${detail}; requests in flight keep the old settings`,
        };
    }
    const isLowered =
        kind === ChangeKind.Removed || (kind === ChangeKind.Changed && Number(after) < Number(before));
    const where = section === "sites" ? `at ${item}` : `at every site`;
    // A higher warmUpSeconds lowers the capacity, unlike the other numbers of a service.
    const isInverted = item === "warmUpSeconds";
    return {
        effect: isLowered !== isInverted ? ChangeEffect.CapacityLowered : ChangeEffect.CapacityRaised,
        description: `the capacity of ${service} ${where} is ${isLowered !== isInverted ? "lowered" : "raised"}`,
    };
}

function describeDrain(
    segments: readonly string[],
    kind: ChangeKind,
    drain: DrainSpec | string,
): EffectDescription {
    if (typeof drain === "string") {
        return {
            effect: ChangeEffect.DrainChanged,
            description: `the drain of ${segments[1]} changes ${segments[2]}`,
        };
    }
    const what = `${drain.service ?? "all services"} at ${drain.place}`;
    return kind === ChangeKind.Added
        ? { effect: ChangeEffect.DrainAdded, description: `${what}: no new requests from ${drain.startsAt}` }
        : { effect: ChangeEffect.DrainRemoved, description: `${what}: back in service` };
}

function describeShiftCap(
    pair: string,
    field: string | undefined,
    kind: ChangeKind,
    before: unknown,
    after: unknown,
): EffectDescription {
    const isLowered =
        kind === ChangeKind.Removed || (kind === ChangeKind.Changed && Number(after) < Number(before));
    const what = field === "maxIncreasePerSecond" ? "traffic shifts" : "traffic may be shifted";
    const amount = field === "maxIncreasePerSecond" ? ["slower", "faster"] : ["less", "more"];
    return {
        effect: isLowered ? ChangeEffect.ShiftCapLowered : ChangeEffect.ShiftCapRaised,
        description: `${isLowered ? amount[0] : amount[1]} ${what}: ${pair.replace(" ", " to ")}`,
    };
}

function describeClients(block: string, before: unknown, after: unknown): string {
    const getRegion = (value: unknown) =>
        typeof value === "string" ? value : (value as { region: string } | undefined)?.region;
    const from = getRegion(before) ?? "the region of the next shorter prefix";
    const to = getRegion(after) ?? "the region of the next shorter prefix";
    return `clients ${block === "" ? "without a block" : `in ${block}`} move from ${from} to ${to}`;
}
