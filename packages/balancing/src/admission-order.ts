/** Order in which the waiting requests of competing workspaces get free slots. */
import type { BackendState } from "./backend-state.js";
import type { FairShare } from "./fair-share.js";
import type { RoutedRequest } from "./placement.js";
import type { Workspace } from "./traffic-config.js";

/** A request that waits, as far as its rank is concerned. */
export interface QueuedRequest {
    req: RoutedRequest;
    /** The server that the request is queued for. */
    server: BackendState;
}

/** Rank of a request at one moment; it changes as requests are admitted and rejected. */
interface Rank {
    /** Whether the workspace has been served too rarely, so that priorities do not count. */
    isUnderserved: boolean;
    workspacePriority: number;
    routePriority: number;
    usage: number;
    arrivedAt: number;
}

/** A waiting request with its rank at one moment. */
export interface RankedRequest<Queued> {
    waiting: Queued;
    rank: Rank;
}

export interface AdmissionOrder {
    /** Sorts waiting requests, first ones first. */
    sort<Queued extends QueuedRequest>(queue: readonly Queued[]): RankedRequest<Queued>[];
    /**
     * Removes and returns the request that ranks first now. Ranks fall when others of the same workspace are admitted.
     * `ranked` must not be empty.
     */
    takeFirst<Queued extends QueuedRequest>(ranked: RankedRequest<Queued>[]): Queued;
    /** Returns the first `limit` waiting requests that rank before a new one and may want room at the server, in order. */
    findRivals<Queued extends QueuedRequest>(
        queue: readonly Queued[],
        req: RoutedRequest,
        server: BackendState,
        limit: number,
    ): Queued[];
    /**
     * Estimates how many waiting requests get a slot of the service before a new one: those that rank before it, or fewer if
     * its server has fewer of them than the others have.
     */
    countAhead(queue: readonly QueuedRequest[], req: RoutedRequest, server: BackendState): number;
    /** Returns the waiting request that ranks last, or undefined if the new one ranks behind all of them. */
    findLast<Queued extends QueuedRequest>(queue: readonly Queued[], req: RoutedRequest): Queued | undefined;
}

export function createAdmissionOrder(
    fairShare: FairShare,
    workspaces: () => readonly Workspace[] | undefined,
): AdmissionOrder {
    let known: readonly Workspace[] | undefined;
    let leastUrgent = 0;

    /** Requests without a workspace rank with the least urgent one, since no quota limits them. */
    const getLeastUrgent = () => {
        const current = workspaces();
        if (current !== known) {
            known = current;
            leastUrgent = Math.max(0, ...(current ?? []).map(({ priority }) => priority));
        }
        return leastUrgent;
    };

    const getRank = ({ workspace, route, service, arrivedAt }: RoutedRequest): Rank => ({
        isUnderserved: fairShare.isUnderserved(workspace?.name),
        workspacePriority: workspace?.priority ?? getLeastUrgent(),
        routePriority: route.priority,
        usage: fairShare.usage(workspace?.name, service),
        arrivedAt,
    });

    const rankAll = <Queued extends QueuedRequest>(queue: readonly Queued[]): RankedRequest<Queued>[] =>
        queue.map(waiting => ({ waiting, rank: getRank(waiting.req) }));

    const sort: AdmissionOrder["sort"] = queue => rankAll(queue).sort((a, b) => compareRanks(a.rank, b.rank));

    return {
        sort,
        takeFirst: ranked => {
            for (;;) {
                const { waiting } = ranked.shift()!;
                const rank = getRank(waiting.req);
                const index = ranked.findIndex(other => compareRanks(rank, other.rank) <= 0);
                if (index === 0 || ranked.length === 0) {
                    return waiting;
                }
                ranked.splice(index < 0 ? ranked.length : index, 0, { waiting, rank });
            }
        },
        findRivals: (queue, req, server, limit) => {
            const isRival = (other: QueuedRequest) =>
                other.server === server ||
                (other.req.service === req.service && !other.req.route.hasAffinity);
            const rank = getRank(req);
            return sort(queue.filter(isRival))
                .filter(other => compareRanks(other.rank, rank) < 0)
                .slice(0, limit)
                .map(({ waiting }) => waiting);
        },
        countAhead: (queue, req, server) => {
            const rank = getRank(req);
            const ofService = queue.filter(other => other.req.service === req.service);
            const ahead = ofService.filter(other => compareRanks(getRank(other.req), rank) < 0);
            const atServer = ahead.filter(other => other.server === server).length;
            const servers = new Set(ofService.map(other => other.server)).size;
            return Math.min(ahead.length, atServer * servers);
        },
        findLast: (queue, req) => {
            const last = rankAll(queue).reduce((a, b) => (compareRanks(a.rank, b.rank) > 0 ? a : b));
            return compareRanks(getRank(req), last.rank) < 0 ? last.waiting : undefined;
        },
    };
}

/** Compares two ranks of the same moment; negative if `a` comes first. */
function compareRanks(a: Rank, b: Rank): number {
    return (
        Number(b.isUnderserved) - Number(a.isUnderserved) ||
        a.workspacePriority - b.workspacePriority ||
        a.routePriority - b.routePriority ||
        a.usage - b.usage ||
        a.arrivedAt - b.arrivedAt
    );
}
