/**
 * Marks of backend servers that have announced a drain. The instance list lags and a health endpoint can be wrong, so
 * any source can set a mark, and it is removed only after no source has reported the drain for some time.
 */
import type { Clock } from "@waxwingdale/core";

/** Time for which health probes must consistently report no drain before a mark is removed, in milliseconds. */
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
    /** Time since which health probes have consistently reported no drain. */
    deniedSince: number | undefined;
}

export interface DrainMarks {
    isMarked(serverId: string): boolean;
    /** Returns true if the server was not marked before. */
    mark(serverId: string, source: DrainSource): boolean;
    /** Records a health probe that reported no drain. Returns true if this removed the mark. */
    recordNotDraining(serverId: string): boolean;
    /** Removes the mark of a server after a peer has detected the end of its drain. Returns true if there was one. */
    remove(serverId: string): boolean;
    /** Removes the marks of servers that are no longer in the instance list. */
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
