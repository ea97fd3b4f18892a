/**
 * Detects from failed calls that this member itself may be isolated from the network. Whether it is, or whether all others
 * are gone, cannot be told from these calls; a witness outside the fleet may know.
 */
import type { Clock, Logger } from "@waxwingdale/core";

export interface IsolationDetector {
    lastContactAt(): number | undefined;
    /** Whether a peer has responded or called within the last moments. */
    hasRecentContact(): boolean;
    /** Ids of the peers that were in contact last, the latest first. */
    recentPeers(): readonly string[];
    /** Records that a peer responded or sent a request. */
    recordSuccess(memberId: string): void;
    /** Records that a member could not be reached. */
    recordFailure(memberId: string): void;
    /** Requires contact with a peer before other members are suspected again, as after a pause of this process. */
    requireContact(): void;
    /** Records whether a witness has found that no other member lives. Others may be suspected for a few seconds then. */
    recordVerdict(isAlone: boolean): void;
    /** Whether no other member lived when a witness was asked last, and none has been in contact since. */
    isAlone(): boolean;
    /** Whether this member may suspect others. */
    isTrusted(): boolean;
    /** Whether it may declare a member dead that it suspects since a clock time. */
    mayDeclareDead(suspectedAt: number): boolean;
}

export interface IsolationDetectorOptions {
    clock: Clock;
    logger: Logger;
    /** Number of members that cannot be reached, with no contact in between, from which this member may be isolated. */
    threshold: number;
    /** Whether a death needs a contact since the suspicion, or a verdict. */
    needsEvidence: boolean;
    /** Called after a contact that ends an isolation, with the time in milliseconds without any. */
    onReconnected: (silentMs: number) => void;
}

/** Time in milliseconds after a contact in which this member is not isolated, whatever other calls fail. */
const recentContactMs = 1500;
/** Time in milliseconds for which a verdict holds: shorter than a suspicion, which so needs two of them. */
const verdictMs = 2800;
const maxRecentPeers = 3;

export function createIsolationDetector(options: IsolationDetectorOptions): IsolationDetector {
    const { clock, logger, threshold } = options;
    /** Members that could not be reached since the last contact with any peer. */
    const failed = new Set<string>();
    let recentPeers: readonly string[] = [];
    let needsContact = false;
    let lastContact: number | undefined;
    /** Clock time of the last verdict that no other member lives, until there is a contact. */
    let aloneSince: number | undefined;
    let isReported = false;

    const hasRecentContact = () => lastContact !== undefined && clock.now() - lastContact <= recentContactMs;
    const hasVerdict = () => aloneSince !== undefined && clock.now() < aloneSince + verdictMs;
    const isTrusted = () =>
        hasVerdict() || (!needsContact && (failed.size < threshold || hasRecentContact()));

    return {
        lastContactAt: () => lastContact,
        hasRecentContact,
        recentPeers: () => recentPeers,
        recordSuccess: memberId => {
            const wasTrusted = isTrusted();
            const silentMs = clock.now() - (lastContact ?? -Infinity);
            if (!wasTrusted) {
                logger.info("membership-contact", { peer: memberId, failedMembers: failed.size });
            }
            lastContact = clock.now();
            recentPeers = [memberId, ...recentPeers.filter(id => id !== memberId)].slice(0, maxRecentPeers);
            needsContact = false;
            aloneSince = undefined;
            failed.clear();
            isReported = false;
            if (!wasTrusted) {
                options.onReconnected(silentMs);
            }
        },
        recordFailure: memberId => {
            failed.add(memberId);
            if (!isTrusted() && !isReported) {
                isReported = true;
                logger.warn("membership-isolated", { failedMembers: failed.size });
            }
        },
        requireContact: () => {
            needsContact = true;
            aloneSince = undefined;
        },
        recordVerdict: isNowAlone => {
            aloneSince = isNowAlone ? clock.now() : undefined;
        },
        isAlone: () => aloneSince !== undefined,
        isTrusted,
        mayDeclareDead: suspectedAt =>
            isTrusted() &&
            (!options.needsEvidence || hasVerdict() || (lastContact ?? -Infinity) > suspectedAt),
    };
}
