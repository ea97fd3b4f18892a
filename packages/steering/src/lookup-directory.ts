/** Lookup responses: ranked entry addresses for a client. */
import { MemberStatus } from "@waxwingdale/core";
import type {
    Clock,
    LookupDirectory,
    LookupEntry,
    LookupResponse,
    Member,
    MemberView,
} from "@waxwingdale/core";
import type { AcceptedManifest, Manifest, ServiceSpec } from "@waxwingdale/manifest";
import { createRegionSetHistory, findFullyShiftedRegions } from "./direct-access.js";
import { parseIpv4 } from "./ipv4.js";
import type { ClientBlockTable } from "./client-block-table.js";
import { rankRegions, rankTargets } from "./plan-state.js";
import { findRoute } from "./plan-types.js";
import type { PlanObject } from "./plan-types.js";

export interface LookupDirectoryOptions {
    view: MemberView;
    clock: Clock;
    /** Active manifest. */
    accepted(): AcceptedManifest | undefined;
    /** Active plan. */
    plan(): PlanObject | undefined;
    /** Home regions of client blocks. */
    table(): ClientBlockTable | undefined;
    /**
     * Number of entries of the first region in a response.
     * @default 3
     */
    firstRegionEntries?: number;
    /**
     * Number of entries of each further region in a response.
     * @default 2
     */
    furtherRegionEntries?: number;
    /**
     * Maximum number of further regions in a response.
     * @default 3
     */
    maxFurtherRegions?: number;
    /**
     * Milliseconds for which the plan must have shifted all traffic of a region before its callers are sent to other
     * regions directly. Twice the hold-down time of traffic steering, so that the entries there already limit them.
     * @default 10_000
     */
    directAccessDelayMs?: number;
}

export interface EntryLookupDirectory extends LookupDirectory {
    /** Returns the home region of a client, or undefined without a manifest. */
    findHomeRegion(client: string | undefined): string | undefined;
    close(): void;
}

/**
 * Number of ranked lists per service and home region. Clients are assigned to lists by hash. Most numbers of entries
 * divide it, so the first ranks are spread evenly; for other numbers up to 60, the difference is at most 2.4%.
 */
const listCount = 2520;
/** Milliseconds between refreshes of the state that depends on time. */
const refreshIntervalMs = 1000;

export function createLookupDirectory(options: LookupDirectoryOptions): EntryLookupDirectory {
    const { view, clock } = options;
    const firstRegionEntries = options.firstRegionEntries ?? 3;
    const furtherRegionEntries = options.furtherRegionEntries ?? 2;
    const maxFurtherRegions = options.maxFurtherRegions ?? 3;
    const directAccessDelayMs = options.directAccessDelayMs ?? 10_000;
    const fullyShiftedHistory = createRegionSetHistory(clock);
    const cache = new Map<string, Map<string, (LookupResponse | undefined)[]>>();
    let accepted: AcceptedManifest | undefined;
    let services = new Map<string, ServiceSpec>();
    let regionOrder = new Map<string, string[]>();
    let entries = new Map<string, LookupEntry[]>();
    let directAccess = new Map<string, boolean>();
    let plan: PlanObject | undefined;
    let refreshedAt = -Infinity;
    let unknownClients = 0;

    const clear = (): void => {
        cache.clear();
        entries = new Map();
    };

    const readManifest = (next: AcceptedManifest): void => {
        accepted = next;
        const { manifest } = next;
        services = new Map(manifest.services.map(service => [service.name, service]));
        const targets = rankTargets(manifest);
        regionOrder = new Map(
            [...rankRegions(manifest)].map(([region, all]) => [
                region,
                // Regions with a shift cap come first, since they can serve the requests as shifted traffic.
                [...new Set([...targets.get(region)!, ...all])],
            ]),
        );
        refreshedAt = -Infinity;
        clear();
    };

    /** Updates the state that depends on the plan and time. Clears the cached lists only if their order may change. */
    const refresh = (manifest: Manifest): void => {
        const now = clock.now();
        const next = options.plan();
        if (next === plan && now - refreshedAt < refreshIntervalMs) {
            return;
        }
        refreshedAt = now;
        fullyShiftedHistory.update(findFullyShiftedRegions(next, manifest));
        const nextDirectAccess = new Map(
            manifest.regions.map(({ name }) => [
                name,
                fullyShiftedHistory.containedFor(name, directAccessDelayMs),
            ]),
        );
        const isChanged =
            [...nextDirectAccess].some(([region, value]) => directAccess.get(region) !== value) ||
            manifest.regions.some(({ name }) => serializeShares(plan, name) !== serializeShares(next, name));
        plan = next;
        directAccess = nextDirectAccess;
        if (isChanged) {
            clear();
        }
    };

    /** Serializes the shares that affect the order of regions: those of routes without traffic in the home region. */
    const serializeShares = (from: PlanObject | undefined, home: string): string =>
        JSON.stringify(
            from?.routes
                .filter(route => route.home === home && route.homePerSecond === 0)
                .map(route => [
                    route.service,
                    ...route.shifts.map(shift => [shift.region, Math.round(shift.share * 50)]),
                ]) ?? [],
        );

    const getEntries = (region: string): LookupEntry[] => {
        let list = entries.get(region);
        if (!list) {
            const ready = view.liveInRegion(region).filter(member => member.ready);
            const live = ready.filter(member => member.status === MemberStatus.Live);
            // Without live entries, uses suspect ones: a fault of this entry may have caused the suspicion.
            list = (live.length > 0 ? live : ready).map(toEntry);
            entries.set(region, list);
        }
        return list;
    };

    /** Lists the regions that serve a request, in order of preference. */
    const orderRegions = (service: string, home: string, listIndex: number): string[] => {
        const serving = new Set(listRegions(service));
        const next = regionOrder.get(home)?.filter(region => serving.has(region)) ?? [];
        if (!directAccess.get(home) && getEntries(home).length > 0) {
            return [home, ...next];
        }
        const first = pickPlanned(service, home, listIndex);
        return [...new Set([...(first === undefined ? [] : [first]), ...next, home])];
    };

    const listRegions = (service: string): string[] => {
        const { sites } = accepted!.manifest;
        const names = new Set(services.get(service)!.sites.map(({ site }) => site));
        return sites.filter(site => names.has(site.name)).map(site => site.region);
    };

    /** Picks a region by the plan's shares, so that callers of a fully shifted region are distributed as planned. */
    const pickPlanned = (service: string, home: string, listIndex: number): string | undefined => {
        const shifts = findRoute(plan, service, home)?.shifts ?? [];
        const total = shifts.reduce((sum, shift) => sum + shift.share, 0);
        let left = (mixBits(listIndex) / 2 ** 32) * total;
        for (const { region, share } of shifts) {
            left -= share;
            if (left < 0 && getEntries(region).length > 0) {
                return region;
            }
        }
        return undefined;
    };

    const buildResponse = (service: string, home: string, listIndex: number): LookupResponse => {
        const list: LookupEntry[] = [];
        let regions = 0;
        for (const region of orderRegions(service, home, listIndex)) {
            const regionEntries = getEntries(region);
            if (regionEntries.length === 0 || regions > maxFurtherRegions) {
                continue;
            }
            list.push(
                ...pickEntries(
                    regionEntries,
                    listIndex,
                    regions === 0 ? firstRegionEntries : furtherRegionEntries,
                ),
            );
            regions++;
        }
        const { generation, manifest } = accepted!;
        return { service, generation, ttlSeconds: manifest.lookup.ttlSeconds, entries: list };
    };

    const getLists = (service: string, home: string): (LookupResponse | undefined)[] => {
        let byHome = cache.get(service);
        if (!byHome) {
            byHome = new Map();
            cache.set(service, byHome);
        }
        let lists = byHome.get(home);
        if (!lists) {
            lists = Array.from({ length: listCount }, () => undefined);
            byHome.set(home, lists);
        }
        return lists;
    };

    const findHomeRegion = (client: string | undefined): string | undefined => {
        const address = client === undefined ? -1 : parseIpv4(client);
        return (
            (address < 0 ? undefined : options.table()?.find(address)) ??
            options.accepted()?.manifest.defaultRegion
        );
    };

    const removeListener = view.onChange(clear);

    return {
        findHomeRegion,
        lookup: (service, client) => {
            const current = options.accepted();
            if (!current) {
                return undefined;
            }
            if (current !== accepted) {
                readManifest(current);
            }
            refresh(current.manifest);
            if (!services.has(service)) {
                return undefined;
            }
            const address = client === undefined ? -1 : parseIpv4(client);
            const found = address < 0 ? undefined : options.table()?.find(address);
            const home = found ?? current.manifest.defaultRegion;
            const listIndex = mixBits(address < 0 ? unknownClients++ : address) % listCount;
            const lists = getLists(service, home);
            const cached = lists[listIndex];
            if (cached) {
                return cached;
            }
            const built = buildResponse(service, home, listIndex);
            lists[listIndex] = built;
            return built;
        },
        close: removeListener,
    };
}

function toEntry(member: Member): LookupEntry {
    return { address: member.callerAddress, region: member.region, zone: member.zone };
}

/** Picks the entries of one list. The ranks after the first vary between lists, which spreads a dead entry's load. */
function pickEntries(entries: readonly LookupEntry[], listIndex: number, count: number): LookupEntry[] {
    const total = entries.length;
    const stride = total > 1 ? 1 + (Math.floor(listIndex / total) % (total - 1)) : 1;
    const picked: LookupEntry[] = [];
    let index = listIndex % total;
    while (picked.length < Math.min(count, total)) {
        while (picked.includes(entries[index]!)) {
            index = (index + 1) % total;
        }
        picked.push(entries[index]!);
        index = (index + stride) % total;
    }
    return picked;
}

/** Mixes the bits of a 32-bit number, so that neighboring addresses get different lists. */
function mixBits(value: number): number {
    let bits = value >>> 0;
    bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
    bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
    return (bits ^ (bits >>> 16)) >>> 0;
}
