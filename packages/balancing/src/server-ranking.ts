/** Ranks the backend servers of a service for an object, so that all instances send an object to the same few servers. */
import { hash32 } from "@waxwingdale/core";
import type { BackendState } from "./backend-state.js";

/** A backend server that may get the requests of an object. */
export interface Candidate {
    server: BackendState;
    /** Whether other instances send the object to this server as well: it ranks first in its zone. */
    isFirstInZone: boolean;
    /** Whether all instances of the own region know it as the object's first server there. */
    isFirstInRegion: boolean;
    /** Rank among the servers of all other regions; 0 in the own region. */
    otherRegionRank: number;
}

/** The servers of one zone, best first. Only the first that is open counts: each copy of an object costs others theirs. */
export interface ZoneRanking {
    isOwnRegion: boolean;
    candidates: readonly Candidate[];
}

export interface ServerRanking {
    /** Ranks of an object in each zone. `revision` is that of the table of servers. */
    zones(
        service: string,
        objectKey: string,
        servers: readonly BackendState[],
        revision: number,
    ): readonly ZoneRanking[];
}

/** Objects whose ranks are kept. */
const maxCachedObjects = 4000;
/** Servers of a zone that are ranked: the second and third serve when those before are closed. */
const ranksInZone = 3;

interface HashedServer {
    server: BackendState;
    hash: number;
}

interface ScoredServer {
    server: BackendState;
    score: number;
}

/** Multipliers and shifts of the finalizer of MurmurHash3, which makes every bit of the result depend on every bit. */
const mixFactors = [0x85ebca6b, 0xc2b2ae35] as const;

/** Returns a hash of a pair of hashes, without hashing a text for each pair. */
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

/** The best servers of a zone for an object, best first. */
function findBest(servers: readonly HashedServer[], objectHash: number): ScoredServer[] {
    const best: ScoredServer[] = [];
    for (const { server, hash } of servers) {
        keepBest(best, server, mixHashes(objectHash, hash));
    }
    return best;
}

/** Inserts a server into the best ones of its zone if it is among them. */
function keepBest(best: ScoredServer[], server: BackendState, score: number): void {
    if (best.length === ranksInZone && score <= best.at(-1)!.score) {
        return;
    }
    const index = best.findIndex(other => other.score < score);
    best.splice(index < 0 ? best.length : index, 0, { server, score });
    best.length = Math.min(best.length, ranksInZone);
}

export function createServerRanking(ownRegion: string): ServerRanking {
    const cache = new Map<string, readonly ZoneRanking[]>();
    let cachedRevision = -1;
    /** Servers of each service by zone, with the hashes of their ids. */
    let zonesByService = new Map<string, HashedServer[][]>();

    const zonesOf = (service: string, servers: readonly BackendState[]): HashedServer[][] => {
        let zones = zonesByService.get(service);
        if (zones === undefined) {
            zones = groupByZone(servers);
            zonesByService.set(service, zones);
        }
        return zones;
    };

    /** Ranks the zones by their best server. */
    const rank = (objectKey: string, zones: readonly HashedServer[][]): readonly ZoneRanking[] => {
        const objectHash = hash32(objectKey);
        const ranked = zones.map(servers => findBest(servers, objectHash));
        ranked.sort((a, b) => b[0]!.score - a[0]!.score);
        let otherRegionRank = 0;
        let isFirstOwnZone = true;
        return ranked.map(best => {
            const isOwnRegion = best[0]!.server.region === ownRegion;
            const zoneRank = isOwnRegion ? 0 : otherRegionRank++;
            const isFirstZone = isOwnRegion && isFirstOwnZone;
            isFirstOwnZone &&= !isOwnRegion;
            const candidates = best.map(({ server }, index) => ({
                server,
                isFirstInZone: index === 0,
                isFirstInRegion: isFirstZone && index === 0,
                otherRegionRank: zoneRank,
            }));
            return { isOwnRegion, candidates };
        });
    };

    return {
        zones: (service, objectKey, servers, revision) => {
            if (revision !== cachedRevision || cache.size > maxCachedObjects) {
                cache.clear();
                zonesByService = new Map();
                cachedRevision = revision;
            }
            const key = `${service}\n${objectKey}`;
            let found = cache.get(key);
            if (found === undefined) {
                found = rank(objectKey, zonesOf(service, servers));
                cache.set(key, found);
            }
            return found;
        },
    };
}
