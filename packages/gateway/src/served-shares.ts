/** Share of the requests that each workspace had served at this instance, over the last half minute. */
import type { Clock, Logger } from "@waxwingdale/core";
import { RequestOutcome } from "@waxwingdale/relay";
import type { RequestRecord } from "@waxwingdale/relay";

export interface ServedShares {
    observe(record: RequestRecord): void;
    /**
     * Mean of the shares served of the worst-served tenth of the workspaces, from 0 to 1. Only workspaces with enough requests
     * count; 1 if there are none.
     */
    worstShare(): number;
}

interface Counts {
    asked: number;
    served: number;
}

interface WorkspaceShare {
    workspace: string;
    share: number;
}

const intervalMs = 5000;
const windowIntervals = 6;
/** Minimum number of requests in the window from which a workspace counts. */
const minAsked = 20;
const worstFraction = 0.1;
/** Fraction of the share of all below which that of the worst-served is logged. */
const unevenFraction = 0.5;
const minLogIntervalMs = 30_000;

/** Outcomes that say nothing about the capacity that a workspace got: the caller is the reason. */
const ignoredOutcomes = new Set([
    RequestOutcome.CallerLeft,
    RequestOutcome.NoRoute,
    RequestOutcome.Unauthorized,
    RequestOutcome.QuotaExceeded,
]);

export function createServedShares(clock: Clock, logger: Logger): ServedShares {
    /** Counts by workspace, by the number of the interval. */
    const intervals = new Map<number, Map<string, Counts>>();
    let loggedAt = -Infinity;

    const getInterval = () => Math.floor(clock.now() / intervalMs);

    /** Sums up the window by workspace. */
    const sumUp = (): Map<string, Counts> => {
        const first = getInterval() - windowIntervals + 1;
        const sums = new Map<string, Counts>();
        for (const [interval, counts] of intervals) {
            if (interval >= first) {
                counts.forEach((count, workspace) => addCounts(sums, workspace, count));
            }
        }
        return sums;
    };

    const checkEvenness = () => {
        const now = clock.now();
        const sums = sumUp();
        const worst = findWorst(sums);
        const worstShare = getMeanShare(worst);
        const shareOfAll = getShareOfAll([...sums.values()]);
        if (
            worst.length > 0 &&
            worstShare < unevenFraction * shareOfAll &&
            now - loggedAt >= minLogIntervalMs
        ) {
            loggedAt = now;
            logger.warn("workspaces-served-unevenly", {
                worstShare: worstShare.toFixed(2),
                shareOfAll: shareOfAll.toFixed(2),
                worst: worst[0]!.workspace,
                workspaces: sums.size,
            });
        }
    };

    /** Returns the counts of the current interval. At the start of one, the past ones are evaluated. */
    const getCurrent = (): Map<string, Counts> => {
        const interval = getInterval();
        let counts = intervals.get(interval);
        if (counts === undefined) {
            checkEvenness();
            counts = new Map();
            intervals.set(interval, counts);
            [...intervals.keys()]
                .filter(other => other <= interval - windowIntervals)
                .forEach(other => intervals.delete(other));
        }
        return counts;
    };

    return {
        observe: ({ workspace, outcome, status }) => {
            const isCallerError = outcome === RequestOutcome.Refused && status < 500;
            if (workspace !== undefined && !isCallerError && !ignoredOutcomes.has(outcome)) {
                const served = outcome === RequestOutcome.Answered ? 1 : 0;
                addCounts(getCurrent(), workspace, { asked: 1, served });
            }
        },
        worstShare: () => getMeanShare(findWorst(sumUp())),
    };
}

function addCounts(sums: Map<string, Counts>, workspace: string, { asked, served }: Counts): void {
    const sum = sums.get(workspace) ?? { asked: 0, served: 0 };
    sum.asked += asked;
    sum.served += served;
    sums.set(workspace, sum);
}

/** Returns the worst-served tenth of the workspaces, the worst first. */
function findWorst(sums: ReadonlyMap<string, Counts>): WorkspaceShare[] {
    const shares = [...sums]
        .filter(([, { asked }]) => asked >= minAsked)
        .map(([workspace, { asked, served }]) => ({ workspace, share: served / asked }))
        .sort((a, b) => a.share - b.share);
    return shares.slice(0, Math.ceil(shares.length * worstFraction));
}

function getMeanShare(shares: readonly WorkspaceShare[]): number {
    return shares.length === 0 ? 1 : shares.reduce((sum, { share }) => sum + share, 0) / shares.length;
}

function getShareOfAll(counts: readonly Counts[]): number {
    const asked = counts.reduce((sum, count) => sum + count.asked, 0);
    return asked === 0 ? 1 : counts.reduce((sum, { served }) => sum + served, 0) / asked;
}
