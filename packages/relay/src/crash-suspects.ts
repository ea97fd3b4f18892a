/**
 * Requests that may crash each backend server that runs them. Crashes are counted for the request of one caller, and for
 * the request whoever sends it, so that others who share the path are served while one caller's request crashes servers.
 */
import type { Clock } from "@waxwingdale/core";
import { getRequestFingerprint, isCallerFingerprint } from "./request-identity.js";
import type { RequestIdentity } from "./request-identity.js";

/** What is known under a fingerprint. Of two reports, that of the later epoch holds, then that with more crashes. */
export interface CrashReport {
    /** Fingerprint of a request, of one caller or of all. */
    fingerprint: string;
    /** Increased by a success, after which crashes count from 0 again. */
    epoch: number;
    /** Number of servers that crashed one after the other, without a success in between. */
    crashes: number;
    /** Time in milliseconds since the last change, so that a suspicion that is passed on ends at all instances. */
    ageMs: number;
    /** Time in milliseconds since the last of the crashes; negative while the outcome of a trial is open. */
    crashAgeMs?: number;
    /** For the fingerprint of all callers: the first caller whose request crashed a server. */
    source?: string;
    /** For the fingerprint of all callers: whether requests of different callers crashed servers. */
    isShared?: boolean;
}

/** Time span of an attempt after which its server had crashed, on the clock of the instance. */
export interface CrashSpan {
    sentAt: number;
    lostAt: number;
}

export interface CrashCounts {
    /** Crashes of the request of this caller. */
    ofCaller: number;
    /** Crashes of the request whoever sent it. Those of a single caller count as two at most. */
    ofAll: number;
}

export interface CrashSuspects {
    /** Whether there is any report; if not, identities are not needed. */
    isEmpty(): boolean;
    countCrashes(identity: RequestIdentity): CrashCounts;
    /** Returns for how many milliseconds the request is rejected; 0 if it is not. */
    rejectedMs(identity: RequestIdentity): number;
    /**
     * Must be called when a request that is not rejected is sent. Returns whether it is on trial: its crash is counted in
     * advance, so that all others are rejected until a success clears it.
     */
    beginTrial(identity: RequestIdentity): boolean;
    /** Undoes `beginTrial`, if no server has run the request. */
    withdrawTrial(identity: RequestIdentity): void;
    /**
     * Records that the server of an attempt has crashed. It counts only if the attempt was sent after the crash before it,
     * so that servers that crash at the same time count once. Returns the crashes that are known now.
     */
    recordCrash(identity: RequestIdentity, span: CrashSpan, isTrial?: boolean): CrashCounts;
    /** Clears the suspicions of this caller's request and of that of all. Returns the crashes that were known. */
    recordSuccess(identity: RequestIdentity): number;
    /**
     * Ends suspicions at all instances: that of a caller's request, or with the fingerprint of a request those of all its
     * callers. Returns their number.
     */
    lift(fingerprint: string): number;
    /** Returns the fingerprints that are rejected now. */
    rejected(): string[];
    merge(report: CrashReport): void;
    /** Returns the reports that other instances need, the most recently changed first. */
    reports(): CrashReport[];
    /**
     * Calls `listener` after each change by this instance, not by `merge`, of a request that has crashed two servers or more.
     * A first crash is mostly the server's own fault, and concerns all that it was running.
     */
    onChange(listener: (report: CrashReport) => void): void;
}

/** Number of crashes from which a request is rejected. */
export const quarantineCrashes = 3;
/** Number of crashes of one caller's request from which it is sent on trial, one at a time. */
export const trialCrashes = quarantineCrashes - 1;
/** Time in milliseconds until a rejected request is tried again; multiplied by the factor after each trial that crashed. */
const firstRejectionMs = 30_000;
const rejectionFactor = 10;
const maxRejectionMs = 24 * 3_600_000;
/** Time in milliseconds for which a suspicion is kept after its last change, beyond the time of the rejection. */
const memoryMs = 3_600_000;
/** Time in milliseconds within which trials that several instances begin count as one. */
const sameTrialMs = 500;
/** Time in milliseconds for which a report of a first crash, or of a success, is passed on. */
const freshMs = 60_000;
/** Maximum number of reports. First crashes are dropped before those that reject requests. */
const maxReports = 2048;

interface Suspect {
    epoch: number;
    crashes: number;
    changedAt: number;
    crashedAt: number;
    source?: string;
    isShared?: boolean;
}

const unknown: Suspect = { epoch: 0, crashes: 0, changedAt: -Infinity, crashedAt: -Infinity };

/**
 * `trialDelayMs` returns for how many milliseconds this instance leaves a trial to others, so that a request that comes to
 * several instances at the same time is on trial at one of them.
 */
export function createCrashSuspects(
    clock: Clock,
    trialDelayMs: (fingerprint: string) => number = () => 0,
): CrashSuspects {
    /** By fingerprint, in the order of their changes. */
    const suspects = new Map<string, Suspect>();
    /** Number of suspected callers of a request, by its fingerprint. */
    const callers = new Map<string, number>();
    const listeners: ((report: CrashReport) => void)[] = [];

    const isExpired = ({ crashes, changedAt }: Suspect) =>
        clock.now() - changedAt >= memoryMs + getRejectionMs(crashes);

    const find = (fingerprint: string): Suspect => {
        const suspect = suspects.get(fingerprint);
        return suspect === undefined || isExpired(suspect) ? unknown : suspect;
    };

    const countCallers = (fingerprint: string, change: number) => {
        if (isCallerFingerprint(fingerprint)) {
            const request = getRequestFingerprint(fingerprint);
            const count = (callers.get(request) ?? 0) + change;
            if (count === 0) {
                callers.delete(request);
            } else {
                callers.set(request, count);
            }
        }
    };

    const remove = (fingerprint: string) => {
        if (suspects.delete(fingerprint)) {
            countCallers(fingerprint, -1);
        }
    };

    const dropExpired = () => {
        for (const [fingerprint, suspect] of suspects) {
            if (isExpired(suspect)) {
                remove(fingerprint);
            }
        }
    };

    const dropLeastImportant = () => {
        const [oldest] = suspects.keys();
        for (const [fingerprint, { crashes }] of suspects) {
            if (crashes < trialCrashes) {
                remove(fingerprint);
                return;
            }
        }
        remove(oldest!);
    };

    const set = (fingerprint: string, suspect: Suspect) => {
        remove(fingerprint);
        if (suspects.size >= maxReports) {
            dropLeastImportant();
        }
        suspects.set(fingerprint, suspect);
        countCallers(fingerprint, 1);
    };

    const toReport = (fingerprint: string, suspect: Suspect): CrashReport => {
        const { epoch, crashes, source, isShared } = suspect;
        const now = clock.now();
        return {
            fingerprint,
            epoch,
            crashes,
            ageMs: Math.round(now - suspect.changedAt),
            ...(crashes > 0 ? { crashAgeMs: Math.round(now - suspect.crashedAt) } : {}),
            ...(source === undefined ? {} : { source, isShared: isShared === true }),
        };
    };

    const change = (fingerprint: string, changes: Partial<Suspect>) => {
        const before = find(fingerprint);
        const suspect = { ...before, ...changes, changedAt: clock.now() };
        set(fingerprint, suspect);
        if (Math.max(suspect.crashes, before.crashes) > 1) {
            listeners.forEach(listener => listener(toReport(fingerprint, suspect)));
        }
    };

    const isRejectable = (fingerprint: string): boolean => {
        const { crashes, source, isShared } = find(fingerprint);
        const concernsAll = isCallerFingerprint(fingerprint) || source === undefined || isShared === true;
        return crashes >= quarantineCrashes && concernsAll;
    };

    const needsTrial = (fingerprint: string): boolean =>
        isRejectable(fingerprint) ||
        (isCallerFingerprint(fingerprint) && find(fingerprint).crashes === trialCrashes);

    const getRejectedMs = (fingerprint: string): number => {
        if (!needsTrial(fingerprint)) {
            return 0;
        }
        const { crashes, changedAt } = find(fingerprint);
        const trialAt = changedAt + getRejectionMs(crashes) + trialDelayMs(fingerprint);
        return Math.max(0, trialAt - clock.now());
    };

    /** Counts the crash of a request on trial in advance, so that no other is sent meanwhile. */
    const countInAdvance = (fingerprint: string) =>
        change(fingerprint, {
            crashes: find(fingerprint).crashes + 1,
            crashedAt: clock.now() + sameTrialMs,
        });

    const recordCallerCrash = (caller: string, { sentAt, lostAt }: CrashSpan, isTrial: boolean) => {
        const { crashes, crashedAt } = find(caller);
        if (isTrial && crashes >= quarantineCrashes) {
            change(caller, { crashedAt: lostAt });
        } else if (sentAt >= crashedAt) {
            change(caller, { crashes: crashes + 1, crashedAt: lostAt });
        }
    };

    /** Crashes of one caller alone, however many, are no reason to reject the request of others. */
    const recordSharedCrash = (request: string, caller: string, { sentAt, lostAt }: CrashSpan) => {
        const { crashes, crashedAt, source = caller, isShared = false } = find(request);
        if (sentAt < crashedAt) {
            return;
        }
        const isOfOthers = isShared || source !== caller;
        change(request, {
            crashes: isOfOthers ? crashes + 1 : Math.min(crashes + 1, trialCrashes),
            crashedAt: lostAt,
            source,
            isShared: isOfOthers,
        });
    };

    const clear = (fingerprint: string): number => {
        const { epoch, crashes } = find(fingerprint);
        if (crashes > 0) {
            change(fingerprint, {
                epoch: epoch + 1,
                crashes: 0,
                crashedAt: -Infinity,
                source: undefined,
                isShared: undefined,
            });
        }
        return crashes;
    };

    /** Fingerprints to look up; that of the caller is not computed if nothing is known of the request. */
    const getKnown = ({ request, caller }: RequestIdentity): string[] => [
        ...(callers.has(request) ? [caller()] : []),
        ...(suspects.has(request) ? [request] : []),
    ];

    const countCrashes = ({ request, caller }: RequestIdentity): CrashCounts => ({
        ofCaller: callers.has(request) ? find(caller()).crashes : 0,
        ofAll: find(request).crashes,
    });

    return {
        isEmpty: () => suspects.size === 0,
        countCrashes,
        rejectedMs: identity => Math.max(0, ...getKnown(identity).map(getRejectedMs)),
        beginTrial: identity => {
            const onTrial = getKnown(identity).filter(needsTrial);
            onTrial.forEach(countInAdvance);
            return onTrial.length > 0;
        },
        withdrawTrial: identity =>
            getKnown(identity).forEach(fingerprint => {
                const { epoch, crashes, crashedAt } = find(fingerprint);
                if (isRejectable(fingerprint)) {
                    const lastAt = Math.min(crashedAt, clock.now());
                    change(fingerprint, { epoch: epoch + 1, crashes: crashes - 1, crashedAt: lastAt });
                }
            }),
        recordCrash: (identity, span, isTrial = false) => {
            const caller = identity.caller();
            recordCallerCrash(caller, span, isTrial);
            recordSharedCrash(identity.request, caller, span);
            return countCrashes(identity);
        },
        recordSuccess: identity => Math.max(0, ...getKnown(identity).map(clear)),
        lift: fingerprint => {
            const names = [...suspects.keys()].filter(
                name => name === fingerprint || getRequestFingerprint(name) === fingerprint,
            );
            return names.map(clear).filter(crashes => crashes > 0).length;
        },
        rejected: () => [...suspects.keys()].filter(fingerprint => getRejectedMs(fingerprint) > 0),
        merge: report => {
            const known = find(report.fingerprint);
            const isNewer =
                report.epoch > known.epoch ||
                (report.epoch === known.epoch && report.crashes > known.crashes);
            const now = clock.now();
            const { epoch, crashes, ageMs, crashAgeMs = ageMs, source, isShared } = report;
            const suspect = {
                epoch,
                crashes,
                changedAt: now - ageMs,
                crashedAt: now - crashAgeMs,
                source,
                isShared,
            };
            if (isNewer && !isExpired(suspect)) {
                set(report.fingerprint, suspect);
            }
        },
        reports: () => {
            dropExpired();
            return [...suspects]
                .map(([fingerprint, suspect]) => toReport(fingerprint, suspect))
                .filter(({ crashes, ageMs }) => crashes >= trialCrashes || ageMs < freshMs)
                .reverse();
        },
        onChange: listener => void listeners.push(listener),
    };
}

/** Returns the time in milliseconds for which a request is rejected after its last crash. */
function getRejectionMs(crashes: number): number {
    return crashes < quarantineCrashes
        ? 0
        : Math.min(maxRejectionMs, firstRejectionMs * rejectionFactor ** (crashes - quarantineCrashes));
}
