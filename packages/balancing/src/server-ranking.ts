/** Rendezvous hashing of objects to the backend servers of a service, so that all instances prefer the same servers. */
import { hash32 } from "@waxwingdale/core";
import type { BackendState } from "./backend-state.js";

/** A backend server that is a candidate for the requests of an object. */
export interface Candidate {
    server: BackendState;
    /** Whether the server ranks first in its zone, so that other instances send the object there as well. */
    isFirstInZone: boolean;
    /** Whether the server ranks first in the local region, for all instances of the region. */
    isFirstInRegion: boolean;
    /** Rank of its zone among the zones of all other regions; 0 in the local region. */
    otherRegionRank: number;
}

/**
 * The servers of one zone, best first. Only the first available one is considered, since each additional cached copy of
 * an object evicts another object.
 */
export interface ZoneRanking {
    isLocalRegion: boolean;
    candidates: readonly Candidate[];
}

export interface ServerRanking {
    /** Ranks the servers of each zone for an object. `revision` is the revision of the backend table. */
    zones(
        service: string,
        objectKey: string,
        servers: readonly BackendState[],
        revision: number,
    ): readonly ZoneRanking[];
}

/** Maximum number of cached rankings. */
const maxCachedRankings = 4000;
/** Servers ranked per zone; the second and third are used while the preceding ones are unavailable. */
const rankedPerZone = 3;

interface HashedServer {
    server: BackendState;
    hash: number;
}

interface ScoredServer {
    server: BackendState;
    score: number;
}

/** Multipliers of the MurmurHash3 finalizer, in which every input bit affects every output bit. */
const mixFactors = [0x85ebca6b, 0xc2b2ae35] as const;

/** Combines two hashes into one, which is cheaper than hashing a string for each pair. */
export function mixHashes(a: number, b: number): number {
    let hash = Math.imul(a ^ ((b << 15) | (b >>> 17)), mixFactors[1]) ^ b;
    hash ^= hash >>> 16;
    hash = Math.imul(hash, mixFactors[0]);
    hash ^= hash >>> 13;
    hash = Math.imul(hash, mixFactors[1]);
    hash ^= hash >>> 16;
    return hash >>> 0;
}

function groupByZone(servers: readonly BackendState[]): HashedServer[][] {
    const zones = new Map<string, HashedServer[]>();
    for (const server of servers) {
        const zone = zones.get(server.record.zone) ?? [];
        zones.set(server.record.zone, zone);
        zone.push({ server, hash: hash32(server.record.id) });
    }
    return [...zones.values()];
}

/** Returns the highest-ranked servers of a zone for an object, best first. */
function findBest(servers: readonly HashedServer[], objectHash: number): ScoredServer[] {
    const best: ScoredServer[] = [];
    for (const { server, hash } of servers) {
        insertBest(best, server, mixHashes(objectHash, hash));
    }
    return best;
}

/** Inserts a server into the sorted list of the best ones if its score is high enough. */
function insertBest(best: ScoredServer[], server: BackendState, score: number): void {
    if (best.length === rankedPerZone && score <= best.at(-1)!.score) {
        return;
    }
    const index = best.findIndex(other => other.score < score);
    best.splice(index < 0 ? best.length : index, 0, { server, score });
    best.length = Math.min(best.length, rankedPerZone);
}

export function createServerRanking(localRegion: string): ServerRanking {
    const cache = new Map<string, readonly ZoneRanking[]>();
    let cachedRevision = -1;
    /** Servers by service and zone, with the hashes of their ids. */
    let zonesByService = new Map<string, HashedServer[][]>();

    const getZones = (service: string, servers: readonly BackendState[]): HashedServer[][] => {
        let zones = zonesByService.get(service);
        if (zones === undefined) {
            zones = groupByZone(servers);
            zonesByService.set(service, zones);
        }
        return zones;
    };

    /** Ranks the servers within each zone, and the zones by their best server. */
    const rank = (objectKey: string, zones: readonly HashedServer[][]): readonly ZoneRanking[] => {
        const objectHash = hash32(objectKey);
        const ranked = zones.map(servers => findBest(servers, objectHash));
        ranked.sort((a, b) => b[0]!.score - a[0]!.score);
        let otherRegionRank = 0;
        let isFirstLocalZone = true;
        return ranked.map(best => {
            const isLocalRegion = best[0]!.server.region === localRegion;
            const zoneRank = isLocalRegion ? 0 : otherRegionRank++;
            const isFirstZone = isLocalRegion && isFirstLocalZone;
            isFirstLocalZone &&= !isLocalRegion;
            const candidates = best.map(({ server }, index) => ({
                server,
                isFirstInZone: index === 0,
                isFirstInRegion: isFirstZone && index === 0,
                otherRegionRank: zoneRank,
            }));
            return { isLocalRegion, candidates };
        });
    };

    return {
        zones: (service, objectKey, servers, revision) => {
            if (revision !== cachedRevision || cache.size > maxCachedRankings) {
                cache.clear();
                zonesByService = new Map();
                cachedRevision = revision;
            }
            const key = `${service}\n${objectKey}`;
            let ranking = cache.get(key);
            if (ranking === undefined) {
                ranking = rank(objectKey, getZones(service, servers));
                cache.set(key, ranking);
            }
            return ranking;
        },
    };
}
