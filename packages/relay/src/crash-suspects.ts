/**
 * Requests that may crash each backend server that runs them. Crashes are counted for the request of one caller, and for
 * the request whoever sends it, so that others who share the path are served while one caller's request crashes servers.
 */
import type { Clock } from "@waxwingdale/core";
import { getRequestFingerprint, isCallerFingerprint } from "./request-identity.js";
import type { RequestIdentity } from "./request-identity.js";
import { createSuspectTable } from "./suspect-table.js";
import type { Suspect } from "./suspect-table.js";

/**
 * What is known under a fingerprint. Of two reports, that of the later epoch holds, then that with more crashes, then that
 * with more trial steps: the end of a trial at one instance does not undo a crash that another has seen meanwhile.
 */
export interface CrashReport {
    /** Fingerprint of a request, of one caller or of all. */
    fingerprint: string;
    /** Increased by a success, after which crashes count from 0 again. */
    epoch: number;
    /** Number of servers that crashed one after the other, without a success in between. */
    crashes: number;
    /** How many times a trial was begun or withdrawn since the last crash; odd while the outcome of a trial is open. */
    trialSteps?: number;
    /** Time in milliseconds since the last change, so that a suspicion that is passed on ends at all instances. */
    ageMs: number;
    /** Time in milliseconds since the last of the crashes. */
    crashAgeMs?: number;
    /** Runs that a server has survived since the first of the crashes, at the instance that saw most of them. */
    survivals?: number;
    /** Ids of the servers of the last crashes. */
    servers?: string[];
    /** Whether the server of the last crash has ended. Servers that hang do so to many requests at once. */
    hasEnded?: boolean;
    /**
     * For the fingerprint of a caller: whether several servers crashed at the same time. They count as one crash, as servers
     * end together for other reasons too, but from then on the request is sent one at a time, and rejected a crash earlier.
     */
    isSimultaneous?: boolean;
    /** For the fingerprint of all callers: the first caller whose request crashed a server. */
    source?: string;
    /** For the fingerprint of all callers: whether requests of different callers crashed servers. */
    isShared?: boolean;
}

/** An attempt whose server has crashed. Times are on the clock of the instance. */
export interface CrashedAttempt {
    serverId: string;
    sentAt: number;
    lostAt: number;
    /** Whether the process of the server has ended, and it does not only hang, or close its connections. */
    hasEnded?: boolean;
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
    /** Whether the request, unless it is rejected, has to be sent on trial. */
    needsTrial(identity: RequestIdentity): boolean;
    /** Whether the request of this caller has crashed so many servers that it is rejected for a time after each crash. */
    isQuarantined(identity: RequestIdentity): boolean;
    /** Returns what would be known after `beginTrial` of the fingerprints that are on trial then. */
    trialReports(identity: RequestIdentity): CrashReport[];
    /**
     * Must be called when a request that is not rejected is sent. Returns whether it is on trial: it is rejected as if it had
     * crashed a server, until a success clears it.
     */
    beginTrial(identity: RequestIdentity): boolean;
    /** Undoes `beginTrial`, if no server has run the request. */
    withdrawTrial(identity: RequestIdentity): void;
    /**
     * Records that the server of an attempt has crashed. It counts only if the attempt was sent after the crash before it,
     * so that servers that crash at the same time count once, and if the server is not among those that crashed lately.
     * Returns the crashes that are known now.
     */
    recordCrash(identity: RequestIdentity, attempt: CrashedAttempt, isTrial?: boolean): CrashCounts;
    /**
     * Records that a server has survived the request, though it did not run it to a good end. A request that most servers
     * survive is frequent, and was at servers that others crashed.
     */
    recordSurvival(identity: RequestIdentity): void;
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
    /** Returns what is known under a fingerprint. */
    report(fingerprint: string): CrashReport;
    /**
     * Calls `listener` after each change by this instance, not by `merge`, of a request that has crashed two servers or more.
     * A first crash is mostly the server's own fault, and concerns all that it was running.
     */
    onChange(listener: (report: CrashReport) => void): void;
    /** Calls `listener` after each change by this instance, also of first crashes. */
    onAnyChange(listener: (report: CrashReport) => void): void;
}

/** Number of crashes from which a request is rejected. */
export const quarantineCrashes = 3;
/** Number of crashes of one caller's request from which it is sent on trial, one at a time. */
export const trialCrashes = quarantineCrashes - 1;
/** Survivals for each crash from which a request is not rejected. It may have left a server's queue without being run. */
const survivalsPerCrash = 8;
/** Time in milliseconds until a rejected request is tried again; multiplied by the factor after each trial that crashed. */
const firstRejectionMs = 30_000;
/** The same for a request that is rejected for all callers: the harm is larger if it is not what crashes servers. */
const firstSharedRejectionMs = 2000;
const rejectionFactor = 10;
const maxRejectionMs = 24 * 3_600_000;
/** Time in milliseconds for which a suspicion is kept after its last change, beyond the time of the rejection. */
const memoryMs = 3_600_000;
/** Time in milliseconds for which a report of a first crash, or of a success, is passed on. */
const freshMs = 60_000;
/** Number of servers that are kept of a request's crashes, and the time in milliseconds in which one of them is back. */
const maxServers = 4;
const serverBackMs = 5000;

/**
 * `trialDelayMs` returns for how many milliseconds this instance leaves a trial to others, so that a request that comes to
 * several instances at the same time is on trial at one of them.
 */
export function createCrashSuspects(
    clock: Clock,
    trialDelayMs: (fingerprint: string) => number = () => 0,
): CrashSuspects {
    const listeners: ((report: CrashReport) => void)[] = [];
    const allListeners: ((report: CrashReport) => void)[] = [];
    const table = createSuspectTable({
        clock,
        lifetimeMs: suspect => memoryMs + getRejectionMs(getLevel(suspect), firstRejectionMs),
        isUnimportant: ({ crashes }) => crashes < trialCrashes,
    });
    const find = (fingerprint: string) => table.find(fingerprint);

    const toReport = (fingerprint: string): CrashReport => {
        const suspect = find(fingerprint);
        const { epoch, crashes, trialSteps, changedAt, crashedAt, survivals, servers, source, isShared } =
            suspect;
        const now = clock.now();
        return {
            fingerprint,
            epoch,
            crashes,
            ...(trialSteps > 0 ? { trialSteps } : {}),
            ageMs: Math.max(0, Math.round(now - Math.max(0, changedAt))),
            ...(crashes > 0 ? { crashAgeMs: Math.round(now - crashedAt) } : {}),
            ...(survivals > 0 ? { survivals } : {}),
            ...(servers.length > 0 ? { servers: [...servers] } : {}),
            ...(suspect.hasEnded === true ? { hasEnded: true } : {}),
            ...(suspect.isSimultaneous === true ? { isSimultaneous: true } : {}),
            ...(source === undefined ? {} : { source, isShared: isShared === true }),
        };
    };

    const notify = (fingerprint: string) => listeners.forEach(listener => listener(toReport(fingerprint)));

    const change = (fingerprint: string, changes: Partial<Suspect>) => {
        const before = find(fingerprint);
        const after = { ...before, ...changes, changedAt: clock.now() };
        table.set(fingerprint, after);
        if (Math.max(after.crashes, before.crashes) > 1 || after.isSimultaneous !== before.isSimultaneous) {
            notify(fingerprint);
        }
        allListeners.forEach(listener => listener(toReport(fingerprint)));
    };

    const isMostlySurvived = (suspect: Suspect): boolean =>
        suspect.survivals >= survivalsPerCrash * getAssumedCrashes(suspect);

    const isRejectable = (fingerprint: string): boolean => {
        const suspect = find(fingerprint);
        const { source, isShared } = suspect;
        const concernsAll = isCallerFingerprint(fingerprint) || source === undefined || isShared === true;
        const isOverLimit = getLevel(suspect) >= quarantineCrashes;
        return isOverLimit && concernsAll && !isMostlySurvived(suspect);
    };

    const needsTrial = (fingerprint: string): boolean => {
        const suspect = find(fingerprint);
        const isDecisive = isCallerFingerprint(fingerprint) && getLevel(suspect) === trialCrashes;
        return isRejectable(fingerprint) || (isDecisive && !isMostlySurvived(suspect));
    };

    /** Counts a survival. Peers are told as soon as it ends a rejection. */
    const countSurvival = (fingerprint: string) => {
        const before = find(fingerprint);
        const after = { ...before, survivals: before.survivals + 1 };
        if (before.crashes === 0) {
            return;
        }
        table.update(fingerprint, after);
        if (before.crashes >= trialCrashes && isMostlySurvived(after) && !isMostlySurvived(before)) {
            notify(fingerprint);
        }
    };

    const getRejectedMs = (fingerprint: string): number => {
        if (!needsTrial(fingerprint)) {
            return 0;
        }
        const suspect = find(fingerprint);
        const firstMs = isCallerFingerprint(fingerprint) ? firstRejectionMs : firstSharedRejectionMs;
        const rejectionMs = getRejectionMs(getLevel(suspect), firstMs);
        const remainingMs = suspect.changedAt + rejectionMs - clock.now();
        // The delay is worked out from all instances, so not for each request that is rejected anyway.
        return remainingMs > 0 ? remainingMs : Math.max(0, remainingMs + trialDelayMs(fingerprint));
    };

    /** An earlier trial whose outcome is still open counts as a crash. */
    const describeTrial = (suspect: Suspect) =>
        isTrialOpen(suspect)
            ? { crashes: suspect.crashes + 1, trialSteps: 1 }
            : { trialSteps: suspect.trialSteps + 1 };

    const openTrial = (fingerprint: string) => change(fingerprint, describeTrial(find(fingerprint)));

    const toTrialReport = (fingerprint: string): CrashReport => ({
        ...toReport(fingerprint),
        ...describeTrial(find(fingerprint)),
        ageMs: 0,
    });

    /** Whether the crash is another one than those that are known. */
    const isFurtherCrash = (
        { crashedAt, servers }: Suspect,
        { serverId, sentAt, lostAt }: CrashedAttempt,
    ): boolean => sentAt >= crashedAt && !(servers.includes(serverId) && lostAt - crashedAt < serverBackMs);

    const describeCrash = ({ servers }: Suspect, { serverId, lostAt, hasEnded }: CrashedAttempt) => ({
        hasEnded,
        trialSteps: 0,
        crashedAt: lostAt,
        servers: [serverId, ...servers].slice(0, maxServers),
    });

    /** The crash of a trial counts also if another instance has withdrawn its own trial meanwhile. */
    const isCounted = (suspect: Suspect, attempt: CrashedAttempt, isTrial: boolean): boolean =>
        (isTrial && suspect.trialSteps > 0) || isFurtherCrash(suspect, attempt);

    const recordCallerCrash = (caller: string, attempt: CrashedAttempt, isTrial: boolean) => {
        const suspect = find(caller);
        // Trials that several instances begin count as one.
        const isKnown = isTrial && suspect.trialSteps === 0 && suspect.crashes >= quarantineCrashes;
        if (!isKnown && isCounted(suspect, attempt, isTrial)) {
            change(caller, { crashes: suspect.crashes + 1, ...describeCrash(suspect, attempt) });
        } else if (attempt.hasEnded === true && isSimultaneousCrash(suspect, attempt.serverId)) {
            const servers = [attempt.serverId, ...suspect.servers].slice(0, maxServers);
            change(caller, { servers, isSimultaneous: true });
        }
    };

    /** Crashes of one caller alone, however many, are no reason to reject the request of others. */
    const recordSharedCrash = (
        request: string,
        caller: string,
        attempt: CrashedAttempt,
        isTrial: boolean,
    ) => {
        const suspect = find(request);
        if (!isCounted(suspect, attempt, isTrial)) {
            return;
        }
        const { crashes, source = caller, isShared = false } = suspect;
        const isOfOthers = isShared || source !== caller;
        change(request, {
            crashes: isOfOthers ? crashes + 1 : Math.max(crashes, Math.min(crashes + 1, trialCrashes)),
            ...describeCrash(suspect, attempt),
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
                trialSteps: 0,
                crashedAt: -Infinity,
                survivals: 0,
                servers: [],
                hasEnded: undefined,
                isSimultaneous: undefined,
                source: undefined,
                isShared: undefined,
            });
        }
        return crashes;
    };

    /** Fingerprints to look up; that of the caller is not computed if nothing is known of the request. */
    const getKnown = ({ request, caller }: RequestIdentity): string[] => [
        ...(table.hasCallers(request) ? [caller()] : []),
        ...(table.has(request) ? [request] : []),
    ];

    const countCrashes = ({ request, caller }: RequestIdentity): CrashCounts => ({
        ofCaller: table.hasCallers(request) ? getAssumedCrashes(find(caller())) : 0,
        ofAll: getAssumedCrashes(find(request)),
    });

    return {
        isEmpty: () => table.size() === 0,
        countCrashes,
        rejectedMs: identity => Math.max(0, ...getKnown(identity).map(getRejectedMs)),
        needsTrial: identity => getKnown(identity).some(needsTrial),
        isQuarantined: identity =>
            getKnown(identity).some(
                fingerprint =>
                    isCallerFingerprint(fingerprint) &&
                    needsTrial(fingerprint) &&
                    getLevel(find(fingerprint)) >= quarantineCrashes,
            ),
        trialReports: identity => getKnown(identity).filter(needsTrial).map(toTrialReport),
        beginTrial: identity => {
            const onTrial = getKnown(identity).filter(needsTrial);
            onTrial.forEach(openTrial);
            return onTrial.length > 0;
        },
        withdrawTrial: identity =>
            getKnown(identity).forEach(fingerprint => {
                const suspect = find(fingerprint);
                if (isTrialOpen(suspect)) {
                    change(fingerprint, { trialSteps: suspect.trialSteps + 1 });
                }
            }),
        recordCrash: (identity, attempt, isTrial = false) => {
            const caller = identity.caller();
            recordCallerCrash(caller, attempt, isTrial);
            recordSharedCrash(identity.request, caller, attempt, isTrial);
            return countCrashes(identity);
        },
        recordSurvival: identity => getKnown(identity).forEach(countSurvival),
        recordSuccess: identity => Math.max(0, ...getKnown(identity).map(clear)),
        lift: fingerprint => {
            const lifted = table
                .fingerprints()
                .filter(name => name === fingerprint || getRequestFingerprint(name) === fingerprint);
            return lifted.map(clear).filter(crashes => crashes > 0).length;
        },
        rejected: () => table.fingerprints().filter(fingerprint => getRejectedMs(fingerprint) > 0),
        merge: report => {
            const known = find(report.fingerprint);
            const { epoch, crashes, trialSteps = 0, ageMs, crashAgeMs = ageMs } = report;
            const { servers = [], source, isShared, hasEnded } = report;
            const isSameEpoch = epoch === known.epoch;
            const hasSameCrashes = isSameEpoch && crashes === known.crashes;
            const isNewer =
                epoch > known.epoch ||
                (isSameEpoch && crashes > known.crashes) ||
                (hasSameCrashes && trialSteps > known.trialSteps);
            const survivals = Math.max(report.survivals ?? 0, isSameEpoch ? known.survivals : 0);
            const isSimultaneous =
                isSameEpoch && (known.isSimultaneous === true || isOtherSimultaneous(known, report));
            const merged = { survivals, isSimultaneous: isSimultaneous || report.isSimultaneous === true };
            if (isNewer) {
                const now = clock.now();
                const times = { changedAt: now - ageMs, crashedAt: now - crashAgeMs };
                table.set(report.fingerprint, {
                    ...{ epoch, crashes, trialSteps, ...times, servers, source, isShared, hasEnded },
                    ...merged,
                });
            } else if (hasSameCrashes && isChanged(known, merged)) {
                table.update(report.fingerprint, { ...known, ...merged });
            }
        },
        reports: () => {
            table.dropExpired();
            return table
                .fingerprints()
                .map(toReport)
                .filter(({ crashes, ageMs }) => crashes >= trialCrashes || ageMs < freshMs)
                .reverse();
        },
        report: toReport,
        onChange: listener => void listeners.push(listener),
        onAnyChange: listener => void allListeners.push(listener),
    };
}

function isTrialOpen({ trialSteps }: Suspect): boolean {
    return trialSteps % 2 === 1;
}

/** Returns the number of crashes, in which a trial counts whose outcome is open. */
function getAssumedCrashes(suspect: Suspect): number {
    return suspect.crashes + (isTrialOpen(suspect) ? 1 : 0);
}

/** Number of crashes by which a request is judged. Crashes at the same time weigh as one more. */
function getLevel(suspect: Suspect): number {
    const crashes = getAssumedCrashes(suspect);
    return suspect.isSimultaneous === true && suspect.crashes > 0 ? crashes + 1 : crashes;
}

/** Whether the server ended at the same time as that of the first crash, and is not the same one. */
function isSimultaneousCrash({ crashes, servers, hasEnded }: Suspect, serverId: string): boolean {
    const isOther = servers.length > 0 && !servers.includes(serverId);
    return isOther && hasEnded === true && crashes === 1;
}

/** Whether another instance knows as many crashes, of which the last one was of another server. */
function isOtherSimultaneous(known: Suspect, report: CrashReport): boolean {
    const { fingerprint, crashes, hasEnded, servers = [] } = report;
    const [last] = servers;
    const isEnd = crashes === known.crashes && hasEnded === true && last !== undefined;
    return isCallerFingerprint(fingerprint) && isEnd && isSimultaneousCrash(known, last);
}

function isChanged(
    known: Suspect,
    { survivals, isSimultaneous }: { survivals: number; isSimultaneous: boolean },
): boolean {
    return survivals > known.survivals || isSimultaneous !== (known.isSimultaneous === true);
}

/** Returns the time in milliseconds for which a request is rejected after its last crash. */
function getRejectionMs(crashes: number, firstMs: number): number {
    return crashes < quarantineCrashes
        ? 0
        : Math.min(maxRejectionMs, firstMs * rejectionFactor ** (crashes - quarantineCrashes));
}
