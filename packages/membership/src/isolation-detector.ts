/** Detects from failed calls that this member itself may be isolated from the network. */
import type { Clock, Logger } from "@waxwingdale/core";

export interface IsolationDetector {
    lastContactAt(): number | undefined;
    /** Records that a peer responded or sent a request. */
    recordSuccess(): void;
    /** Records that a member could not be reached. */
    recordFailure(memberId: string): void;
    /** Requires contact with a peer before other members are suspected again, as after a pause of this process. */
    requireContact(): void;
    /** Whether this member may suspect others. */
    isTrusted(): boolean;
}

export function createIsolationDetector(
    clock: Clock,
    logger: Logger,
    isolationThreshold: number,
): IsolationDetector {
    /** Members that could not be reached since the last contact with any peer. */
    const failed = new Set<string>();
    let needsContact = false;
    let lastContact: number | undefined;
    const isTrusted = () => !needsContact && failed.size < isolationThreshold;

    return {
        lastContactAt: () => lastContact,
        recordSuccess: () => {
            if (!isTrusted()) {
                logger.info("membership-contact", { failedMembers: failed.size });
            }
            lastContact = clock.now();
            needsContact = false;
            failed.clear();
        },
        recordFailure: memberId => {
            const wasTrusted = isTrusted();
            failed.add(memberId);
            if (wasTrusted && !isTrusted()) {
                logger.warn("membership-isolated", { failedMembers: failed.size });
            }
        },
        requireContact: () => {
            needsContact = true;
        },
        isTrusted,
    };
}
