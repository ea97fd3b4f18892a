/**
 * Decides when an instance writes its crash archive. Most servers end by their own fault, and a first crash is forgotten
 * with the next success: such changes wait for each other. All others are written at once.
 */
import { setBounded } from "@waxwingdale/core";
import type { Clock } from "@waxwingdale/core";
import type { CrashReport } from "@waxwingdale/relay";
import { createWakeUp } from "./wake-up.js";

export interface ArchiveChanges {
    /** Must be called with each change that this instance makes. */
    record(report: CrashReport): void;
    /** Must be called with changes that the archive needs at once. */
    recordUrgent(fingerprint: string): void;
    /** Resolves when a write is due, or when the signal is aborted. */
    waitUntilDue(signal: AbortSignal): Promise<void>;
    /** Returns the fingerprints that have changed since the last call. */
    take(): string[];
}

/** Interval in milliseconds between two writes for first crashes alone: for each instance, at least and at most. */
const intervalMsPerInstance = 250;
const minIntervalMs = 2000;
const maxIntervalMs = 10_000;
/** Number of changed fingerprints that are kept while the store does not respond: the latest. */
const maxChanges = 2048;

/** `countInstances` returns the number of instances that write to the store. */
export function createArchiveChanges(clock: Clock, countInstances: () => number): ArchiveChanges {
    /** Fingerprints that have changed, each with whether the archive needs it at once. */
    const changed = new Map<string, boolean>();
    /** Clock time from which first crashes may be written. */
    let nextAt = clock.now();
    let isUrgent = false;
    const wakeUp = createWakeUp(clock);

    const getIntervalMs = (): number =>
        Math.min(maxIntervalMs, Math.max(minIntervalMs, intervalMsPerInstance * countInstances()));

    const record = (fingerprint: string, isNeededAtOnce: boolean) => {
        setBounded(changed, fingerprint, isNeededAtOnce, maxChanges);
        isUrgent ||= isNeededAtOnce;
        wakeUp.wake();
    };

    return {
        record: report => {
            const { fingerprint, crashes } = report;
            if (!isFirstCrash(report)) {
                record(fingerprint, true);
            } else if (changed.get(fingerprint) === true) {
                return;
            } else if (crashes > 0) {
                record(fingerprint, false);
            } else {
                // The end of a first crash is worth no write.
                changed.delete(fingerprint);
            }
        },
        recordUrgent: fingerprint => record(fingerprint, true),
        waitUntilDue: async signal => {
            while (!signal.aborted && !isUrgent) {
                const delayMs = nextAt - clock.now();
                if (changed.size > 0 && delayMs <= 0) {
                    nextAt = clock.now() + getIntervalMs();
                    return;
                }
                await wakeUp.wait(signal, changed.size > 0 ? delayMs : maxIntervalMs);
            }
        },
        take: () => {
            const fingerprints = [...changed.keys()];
            changed.clear();
            isUrgent = false;
            return fingerprints;
        },
    };
}

/** Whether the report is of a single crash, or of its end, and there is no trial. */
function isFirstCrash({ crashes, isSimultaneous = false, trialSteps = 0 }: CrashReport): boolean {
    return crashes <= 1 && !isSimultaneous && trialSteps === 0;
}
