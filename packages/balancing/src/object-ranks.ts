/** Ranks the backend servers of a service for an object, so that all instances send an object to the same few servers. */
import { hash32 } from "@waxwingdale/core";
import type { BackendState } from "./backend-state.js";

/** A backend server that may get the requests of an object. */
export interface Candidate {
    server: BackendState;
    /** Rank of the server for the object in its own zone; 0 is the server that other instances choose as well. */
    rankInZone: number;
    /** Rank among the servers of all other regions; 0 in the own region. */
    otherRegionRank: number;
}

export interface ObjectRanks {
    /** Candidates of an object, nearest zones with more alternatives. `revision` is that of the table of servers. */
    candidates(
        service: string,
        objectKey: string,
        servers: readonly BackendState[],
        revision: number,
    ): readonly Candidate[];
}

/** Objects whose ranks are kept; a rank costs a hash for each server of the service. */
const maxCachedObjects = 4000;
/** Alternatives for each zone of the own region, and for each other zone. */
const ownRegionRanks = 4;
const otherRegionRanks = 2;

export function createObjectRanks(ownRegion: string): ObjectRanks {
    const cache = new Map<string, readonly Candidate[]>();
    let cachedRevision = -1;

    const rank = (objectKey: string, servers: readonly BackendState[]): readonly Candidate[] => {
        const byZone = new Map<string, { server: BackendState; score: number }[]>();
        for (const server of servers) {
            const scored = byZone.get(server.record.zone) ?? [];
            scored.push({ server, score: hash32(`${objectKey}\n${server.record.id}`) });
            byZone.set(server.record.zone, scored);
        }
        const ranked = [...byZone.values()].flatMap(scored => {
            const limit = scored[0]!.server.region === ownRegion ? ownRegionRanks : otherRegionRanks;
            return scored
                .sort((a, b) => b.score - a.score)
                .slice(0, limit)
                .map(({ server, score }, rankInZone) => ({ server, score, rankInZone }));
        });
        let othersBefore = 0;
        return ranked
            .sort((a, b) => b.score - a.score)
            .map(({ server, rankInZone }) => ({
                server,
                rankInZone,
                otherRegionRank: server.region === ownRegion ? 0 : othersBefore++,
            }));
    };

    return {
        candidates: (service, objectKey, servers, revision) => {
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
