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
export interface ZoneRanks {
    isOwnRegion: boolean;
    candidates: readonly Candidate[];
}

export interface ObjectRanks {
    /** Ranks of an object in each zone. `revision` is that of the table of servers. */
    zones(
        service: string,
        objectKey: string,
        servers: readonly BackendState[],
        revision: number,
    ): readonly ZoneRanks[];
}

/** Objects whose ranks are kept; a rank costs a hash for each server of the service. */
const maxCachedObjects = 4000;
/** Servers of a zone that are ranked: the second and third serve when those before are closed. */
const ranksInZone = 3;

interface ScoredServer {
    server: BackendState;
    score: number;
}

export function createObjectRanks(ownRegion: string): ObjectRanks {
    const cache = new Map<string, readonly ZoneRanks[]>();
    let cachedRevision = -1;

    const scoreByZone = (objectKey: string, servers: readonly BackendState[]): ScoredServer[][] => {
        const byZone = new Map<string, ScoredServer[]>();
        for (const server of servers) {
            const scored = byZone.get(server.record.zone) ?? [];
            scored.push({ server, score: hash32(`${objectKey}\n${server.record.id}`) });
            byZone.set(server.record.zone, scored);
        }
        const zones = [...byZone.values()];
        zones.forEach(scored => scored.sort((a, b) => b.score - a.score));
        return zones.sort((a, b) => b[0]!.score - a[0]!.score);
    };

    const rank = (objectKey: string, servers: readonly BackendState[]): readonly ZoneRanks[] => {
        let otherRegionRank = 0;
        let isFirstOwnZone = true;
        return scoreByZone(objectKey, servers).map(scored => {
            const isOwnRegion = scored[0]!.server.region === ownRegion;
            const zoneRank = isOwnRegion ? 0 : otherRegionRank++;
            const isFirstZone = isOwnRegion && isFirstOwnZone;
            isFirstOwnZone &&= !isOwnRegion;
            const candidates = scored.slice(0, ranksInZone).map(({ server }, index) => ({
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
                cachedRevision = revision;
            }
            const key = `${service}\n${objectKey}`;
            let found = cache.get(key);
            if (found === undefined) {
                found = rank(objectKey, servers);
                cache.set(key, found);
            }
            return found;
        },
    };
}
