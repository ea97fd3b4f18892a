/** Tells what a change of the manifest does to the traffic. */
import { ChangeEffect, ChangeKind } from "./manifest-change.js";
import type { DrainSpec } from "./types.js";

export interface EffectDescription {
    effect: ChangeEffect;
    description: string;
}

/** Describes the effect of a change. `path` has the items of lists in brackets. */
export function describeEffect(
    path: readonly string[],
    kind: ChangeKind,
    before: unknown,
    after: unknown,
): EffectDescription {
    const place = path.map(segment => segment.replace(/^\[|\]$/g, ""));
    const [top = "", item = ""] = place;
    const verb =
        kind === ChangeKind.Added ? "is added" : kind === ChangeKind.Removed ? "is removed" : "changes";
    switch (top) {
        case "regions":
        case "sites":
            return describePlace(top === "regions" ? "region" : "site", place, verb, kind);
        case "services":
            return describeService(place, verb, kind, before, after);
        case "drains":
            return describeDrain(place, kind, (after ?? before) as DrainSpec | string);
        case "shiftCaps":
            return describeShiftCap(item, place[2], kind, before, after);
        case "links":
            return {
                effect: ChangeEffect.LinkChanged,
                description: `the link ${item.replace(" ", " to ")} ${verb}; bulk pacing follows it`,
            };
        case "clientBlocks":
        case "defaultRegion":
            return { effect: ChangeEffect.ClientsMoved, description: describeClients(item, before, after) };
        case "deployment":
        case "formatVersion":
        case "storeRegion":
            return { effect: ChangeEffect.DeploymentChanged, description: `${top} ${verb} for every entry` };
        default:
            return { effect: ChangeEffect.LimitChanged, description: `the limit ${place.join(".")} ${verb}` };
    }
}

function describePlace(
    word: string,
    place: readonly string[],
    verb: string,
    kind: ChangeKind,
): EffectDescription {
    const [, name, field, zone] = place;
    const effects = {
        [ChangeKind.Added]: ChangeEffect.PlaceAdded,
        [ChangeKind.Removed]: ChangeEffect.PlaceRemoved,
        [ChangeKind.Changed]: ChangeEffect.PlaceChanged,
    };
    const what = zone !== undefined ? `availability zone ${zone} of the ${word} ${name}` : `${word} ${name}`;
    const detail = field === undefined || zone !== undefined ? verb : `changes ${field}`;
    return { effect: effects[kind], description: `the ${what} ${detail}` };
}

function describeService(
    place: readonly string[],
    verb: string,
    kind: ChangeKind,
    before: unknown,
    after: unknown,
): EffectDescription {
    const [, service, part, item, field] = place;
    if (part === undefined) {
        const effect = kind === ChangeKind.Removed ? ChangeEffect.ServiceRemoved : ChangeEffect.ServiceAdded;
        return { effect, description: `the service ${service} ${verb}` };
    }
    if (part === "routes") {
        const detail = field === undefined ? verb : `changes ${field}`;
        return {
            effect: ChangeEffect.RouteChanged,
            description: `the route ${item} of ${service} ${detail}; requests that run keep the old rules`,
        };
    }
    const isLowered =
        kind === ChangeKind.Removed || (kind === ChangeKind.Changed && Number(after) < Number(before));
    const where = part === "sites" ? `at ${item}` : `at every site`;
    // A longer warm-up means less capacity, unlike the other numbers of a service.
    const isInverted = item === "warmUpSeconds";
    return {
        effect: isLowered !== isInverted ? ChangeEffect.CapacityLowered : ChangeEffect.CapacityRaised,
        description: `the capacity of ${service} ${where} is ${isLowered !== isInverted ? "lowered" : "raised"}`,
    };
}

function describeDrain(
    place: readonly string[],
    kind: ChangeKind,
    drain: DrainSpec | string,
): EffectDescription {
    if (typeof drain === "string") {
        return {
            effect: ChangeEffect.DrainChanged,
            description: `the drain of ${place[1]} changes ${place[2]}`,
        };
    }
    const what = `${drain.service ?? "all services"} at ${drain.place}`;
    return kind === ChangeKind.Added
        ? { effect: ChangeEffect.DrainAdded, description: `${what}: no new requests from ${drain.startsAt}` }
        : { effect: ChangeEffect.DrainRemoved, description: `${what}: in service again` };
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
