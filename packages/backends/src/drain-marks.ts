/**
 * Marks of backend servers that said that they drain. The instance list lags and a health endpoint can mislead, so a
 * mark is set by any source and removed only after every source has said otherwise for some time.
 */
import type { Clock } from "@waxwingdale/core";

/** Time in milliseconds for which health must deny a drain without a break before the mark goes. */
export const drainMarkHoldMs = 30_000;

export enum DrainSource {
    ResponseHeader = "response-header",
    Health = "health",
    InstanceList = "instance-list",
    Manifest = "manifest",
    Peer = "peer",
}

export interface DrainMark {
    source: DrainSource;
    markedAt: number;
    /** Start of the time for which health has denied the drain without a break. */
    deniedSince: number | undefined;
}

export interface DrainMarks {
    isMarked(serverId: string): boolean;
    /** Returns true when the server was not marked before. */
    mark(serverId: string, source: DrainSource): boolean;
    /** Health said that the server does not drain. Returns true when this removed the mark. */
    recordNotDraining(serverId: string): boolean;
    /** Removes the mark of a server whose drain another entry saw end. Returns true when there was one. */
    remove(serverId: string): boolean;
    /** Forgets servers that are not in the list any more. */
    retainOnly(serverIds: ReadonlySet<string>): void;
    state(): Record<string, DrainMark>;
}

/** Creates the marks of one entry instance. */
export function createDrainMarks(clock: Clock): DrainMarks {
    const marks = new Map<string, DrainMark>();
    return {
        isMarked: serverId => marks.has(serverId),
        mark: (serverId, source) => {
            const known = marks.get(serverId);
            if (known !== undefined) {
                known.deniedSince = undefined;
                return false;
            }
            marks.set(serverId, { source, markedAt: clock.now(), deniedSince: undefined });
            return true;
        },
        recordNotDraining: serverId => {
            const mark = marks.get(serverId);
            if (mark === undefined) {
                return false;
            }
            mark.deniedSince ??= clock.now();
            if (clock.now() - mark.deniedSince < drainMarkHoldMs) {
                return false;
            }
            return marks.delete(serverId);
        },
        remove: serverId => marks.delete(serverId),
        retainOnly: serverIds => {
            for (const id of marks.keys()) {
                if (!serverIds.has(id)) {
                    marks.delete(id);
                }
            }
        },
        state: () => Object.fromEntries(marks),
    };
}
