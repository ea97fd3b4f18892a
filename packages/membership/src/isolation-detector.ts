/** Judges from the outcome of calls whether this entry itself may be cut off. */
import type { Clock, Logger } from "@waxwingdale/core";

export interface IsolationDetector {
    lastContactAt(): number | undefined;
    /** A peer answered or called. */
    recordSuccess(): void;
    /** A member could not be reached. */
    recordFailure(memberId: string): void;
    /** Requires a contact before members are suspected again, after a pause of this process. */
    requireContact(): void;
    /** Whether this entry may suspect others. */
    isTrusted(): boolean;
}

export function createIsolationDetector(
    clock: Clock,
    logger: Logger,
    isolationFailures: number,
): IsolationDetector {
    /** Members that failed since the last contact. */
    const failed = new Set<string>();
    let doubted = false;
    let lastContact: number | undefined;
    const isTrusted = () => !doubted && failed.size < isolationFailures;

    return {
        lastContactAt: () => lastContact,
        recordSuccess: () => {
            if (!isTrusted()) {
                logger.info("membership-contact", { failedMembers: failed.size });
            }
            lastContact = clock.now();
            doubted = false;
            failed.clear();
        },
        recordFailure: memberId => {
            const before = isTrusted();
            failed.add(memberId);
            if (before && !isTrusted()) {
                logger.warn("membership-isolated", { failedMembers: failed.size });
            }
        },
        requireContact: () => {
            doubted = true;
        },
        isTrusted,
    };
}
