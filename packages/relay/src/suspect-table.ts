/** Table of the requests that may crash servers, by fingerprint. It forgets old entries and has a bounded size. */
import type { Clock } from "@waxwingdale/core";
import { getRequestFingerprint, isCallerFingerprint } from "./request-identity.js";

/** What is known under a fingerprint. Times are on the clock of the instance. */
export interface Suspect {
    /** Increased by a success. */
    epoch: number;
    /** Crashes since then. */
    crashes: number;
    /** How many times a trial was begun or withdrawn since the last crash; odd while the outcome of a trial is open. */
    trialSteps: number;
    changedAt: number;
    /** Time of the last crash. */
    crashedAt: number;
    /** Runs that a server has survived since the first crash. */
    survivals: number;
    /** Ids of the servers of the last crashes. */
    servers: readonly string[];
    /** Whether the server of the last crash has ended, and does not only hang. */
    hasEnded?: boolean;
    /** Whether several servers crashed at the same time under one caller's request. */
    isSimultaneous?: boolean;
    /** For the fingerprint of all callers: the first caller whose request crashed a server. */
    source?: string;
    /** For the fingerprint of all callers: whether requests of different callers crashed servers. */
    isShared?: boolean;
}

export interface SuspectTable {
    size(): number;
    /** Returns an entry without crashes if there is none. */
    find(fingerprint: string): Suspect;
    /** Replaces an entry, which becomes the most recently changed one. */
    set(fingerprint: string, suspect: Suspect): void;
    /** Replaces an entry without a change of its order. */
    update(fingerprint: string, suspect: Suspect): void;
    has(fingerprint: string): boolean;
    /** Whether there are entries of callers of the request. */
    hasCallers(request: string): boolean;
    /** Returns all fingerprints, the least recently changed first. */
    fingerprints(): string[];
    dropExpired(): void;
}

export interface SuspectTableOptions {
    clock: Clock;
    /** Time in milliseconds since its last change after which an entry is forgotten. */
    lifetimeMs: (suspect: Suspect) => number;
    /** Whether an entry is dropped before others if there are too many. */
    isUnimportant: (suspect: Suspect) => boolean;
}

const maxSuspects = 2048;

const unknown: Suspect = {
    epoch: 0,
    crashes: 0,
    trialSteps: 0,
    changedAt: -Infinity,
    crashedAt: -Infinity,
    survivals: 0,
    servers: [],
};

export function createSuspectTable({ clock, lifetimeMs, isUnimportant }: SuspectTableOptions): SuspectTable {
    /** In the order of their changes. */
    const suspects = new Map<string, Suspect>();
    /** Number of entries of callers of a request, by its fingerprint. */
    const callers = new Map<string, number>();

    const isExpired = (suspect: Suspect) => clock.now() - suspect.changedAt >= lifetimeMs(suspect);

    const countCallers = (fingerprint: string, change: number) => {
        if (!isCallerFingerprint(fingerprint)) {
            return;
        }
        const request = getRequestFingerprint(fingerprint);
        const count = (callers.get(request) ?? 0) + change;
        if (count === 0) {
            callers.delete(request);
        } else {
            callers.set(request, count);
        }
    };

    const remove = (fingerprint: string) => {
        if (suspects.delete(fingerprint)) {
            countCallers(fingerprint, -1);
        }
    };

    const findLeastImportant = (): string => {
        for (const [fingerprint, suspect] of suspects) {
            if (isUnimportant(suspect)) {
                return fingerprint;
            }
        }
        const [oldest] = suspects.keys();
        return oldest!;
    };

    return {
        size: () => suspects.size,
        find: fingerprint => {
            const suspect = suspects.get(fingerprint);
            return suspect === undefined || isExpired(suspect) ? unknown : suspect;
        },
        set: (fingerprint, suspect) => {
            if (isExpired(suspect)) {
                return;
            }
            remove(fingerprint);
            if (suspects.size >= maxSuspects) {
                remove(findLeastImportant());
            }
            suspects.set(fingerprint, suspect);
            countCallers(fingerprint, 1);
        },
        update: (fingerprint, suspect) => {
            if (suspects.has(fingerprint)) {
                suspects.set(fingerprint, suspect);
            }
        },
        has: fingerprint => suspects.has(fingerprint),
        hasCallers: request => callers.has(request),
        fingerprints: () => [...suspects.keys()],
        dropExpired: () => {
            for (const [fingerprint, suspect] of suspects) {
                if (isExpired(suspect)) {
                    remove(fingerprint);
                }
            }
        },
    };
}
