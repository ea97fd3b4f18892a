/** Answers of the look-up: ranked entry addresses for a client. */
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
    /** Manifest in force. */
    accepted(): AcceptedManifest | undefined;
    /** Plan in force. */
    plan(): PlanObject | undefined;
    /** Home regions of client blocks. */
    table(): ClientBlockTable | undefined;
    /**
     * Entries of the first region in an answer.
     * @default 3
     */
    firstRegionEntries?: number;
    /**
     * Entries of each further region in an answer.
     * @default 2
     */
    furtherRegionEntries?: number;
    /**
     * Further regions in an answer.
     * @default 3
     */
    maxFurtherRegions?: number;
    /**
     * Time in milliseconds for which a region must have been emptied by the plan before its callers are sent to other
     * regions directly. It is twice the hold time of the entries' shares, so that these entries meter such callers.
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
 * Ranked lists for each service and region. Clients are spread over them by hash. Most numbers of entries divide it, so
 * the first places are spread evenly; for other numbers up to 60 the difference is at most 2.4%.
 */
const spreadCount = 2520;
/** Time in milliseconds between looks at what time alone changes. */
const refreshMs = 1000;

export function createLookupDirectory(options: LookupDirectoryOptions): EntryLookupDirectory {
    const { view, clock } = options;
    const firstEntries = options.firstRegionEntries ?? 3;
    const nextEntries = options.furtherRegionEntries ?? 2;
    const nextRegions = options.maxFurtherRegions ?? 3;
    const emptiedMs = options.directAccessDelayMs ?? 10_000;
    const emptied = createRegionSetHistory(clock);
    const cache = new Map<string, Map<string, (LookupResponse | undefined)[]>>();
    let accepted: AcceptedManifest | undefined;
    let services = new Map<string, ServiceSpec>();
    let order = new Map<string, string[]>();
    let entries = new Map<string, LookupEntry[]>();
    let away = new Map<string, boolean>();
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
        order = new Map(
            [...rankRegions(manifest)].map(([region, all]) => [
                region,
                // Regions that a cap allows can serve the caller's requests as shifted traffic.
                [...new Set([...targets.get(region)!, ...all])],
            ]),
        );
        refreshedAt = -Infinity;
        clear();
    };

    /** Reads what the plan and time change, and drops the cached lists only when that changes an order. */
    const refresh = (manifest: Manifest): void => {
        const now = clock.now();
        const next = options.plan();
        if (next === plan && now - refreshedAt < refreshMs) {
            return;
        }
        refreshedAt = now;
        emptied.update(findFullyShiftedRegions(next, manifest));
        const nextAway = new Map(
            manifest.regions.map(({ name }) => [name, emptied.containedFor(name, emptiedMs)]),
        );
        const isChanged =
            [...nextAway].some(([region, value]) => away.get(region) !== value) ||
            manifest.regions.some(({ name }) => getShares(plan, name) !== getShares(next, name));
        plan = next;
        away = nextAway;
        if (isChanged) {
            clear();
        }
    };

    /** Shares of a region's traffic that matter to an order, as a text to compare: only of a region without home traffic. */
    const getShares = (from: PlanObject | undefined, home: string): string =>
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
            // Without a live entry a suspect one is the better guess: the suspicion may be this entry's own fault.
            list = (live.length > 0 ? live : ready).map(toEntry);
            entries.set(region, list);
        }
        return list;
    };

    /** Orders the regions for one list. */
    const orderRegions = (service: string, home: string, spread: number): string[] => {
        const runs = new Set(listRegions(service));
        const next = order.get(home)?.filter(region => runs.has(region)) ?? [];
        if (!away.get(home) && getEntries(home).length > 0) {
            return [home, ...next];
        }
        const first = pickPlanned(service, home, spread);
        return [...new Set([...(first === undefined ? [] : [first]), ...next, home])];
    };

    const listRegions = (service: string): string[] => {
        const { sites } = accepted!.manifest;
        const names = new Set(services.get(service)!.sites.map(({ site }) => site));
        return sites.filter(site => names.has(site.name)).map(site => site.region);
    };

    /** Picks a region by the plan's shares, so that callers of an emptied region spread as the plan says. */
    const pickPlanned = (service: string, home: string, spread: number): string | undefined => {
        const shifts = findRoute(plan, service, home)?.shifts ?? [];
        const total = shifts.reduce((sum, shift) => sum + shift.share, 0);
        let left = (mixBits(spread) / 2 ** 32) * total;
        for (const { region, share } of shifts) {
            left -= share;
            if (left < 0 && getEntries(region).length > 0) {
                return region;
            }
        }
        return undefined;
    };

    const buildResponse = (service: string, home: string, spread: number): LookupResponse => {
        const list: LookupEntry[] = [];
        let regions = 0;
        for (const region of orderRegions(service, home, spread)) {
            const known = getEntries(region);
            if (known.length === 0 || regions > nextRegions) {
                continue;
            }
            list.push(...pickEntries(known, spread, regions === 0 ? firstEntries : nextEntries));
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
            lists = Array.from({ length: spreadCount }, () => undefined);
            byHome.set(home, lists);
        }
        return lists;
    };

    const findHome = (client: string | undefined): string | undefined => {
        const address = client === undefined ? -1 : parseIpv4(client);
        return (
            (address < 0 ? undefined : options.table()?.find(address)) ??
            options.accepted()?.manifest.defaultRegion
        );
    };

    const removeListener = view.onChange(clear);

    return {
        findHomeRegion: findHome,
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
            const spread = mixBits(address < 0 ? unknownClients++ : address) % spreadCount;
            const lists = getLists(service, home);
            const known = lists[spread];
            if (known) {
                return known;
            }
            const built = buildResponse(service, home, spread);
            lists[spread] = built;
            return built;
        },
        close: removeListener,
    };
}

function toEntry(member: Member): LookupEntry {
    return { address: member.callerAddress, region: member.region, zone: member.zone };
}

/** Picks entries for one list. The second and third places differ between lists, so a dead entry's load is spread too. */
function pickEntries(known: readonly LookupEntry[], spread: number, count: number): LookupEntry[] {
    const total = known.length;
    const stride = total > 1 ? 1 + (Math.floor(spread / total) % (total - 1)) : 1;
    const picked: LookupEntry[] = [];
    let index = spread % total;
    while (picked.length < Math.min(count, total)) {
        while (picked.includes(known[index]!)) {
            index = (index + 1) % total;
        }
        picked.push(known[index]!);
        index = (index + stride) % total;
    }
    return picked;
}

/** Mixes the bits of a 32-bit number, so that neighbouring addresses get different lists. */
function mixBits(value: number): number {
    let bits = value >>> 0;
    bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
    bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
    return (bits ^ (bits >>> 16)) >>> 0;
}
