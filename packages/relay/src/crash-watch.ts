/** Follows one request through its attempts and tells whether it may crash the servers that run it. */
import type { Clock } from "@waxwingdale/core";
import { trialCrashes } from "./crash-suspects.js";
import type { CrashSuspects } from "./crash-suspects.js";
import type { RequestIdentity } from "./request-identity.js";
import { ServerVerdict, isCrash } from "./server-examiner.js";
import type { ServerExaminer, WatchedAttempt } from "./server-examiner.js";

export interface CrashWatch {
    /** Returns for how many milliseconds the request is rejected; 0 if it is not. */
    rejectedMs(): number;
    /** Whether the request must not be sent before `beginTrial` allows it. */
    needsTrial(): boolean;
    /** Resolves with whether the request may be sent, on trial. If not, it is on trial elsewhere, or rejected. */
    beginTrial(): Promise<boolean>;
    /** Whether it may have crashed a server: it is not sent to two at the same time then. */
    isSuspect(): boolean;
    /** Fingerprint of the request of its caller. */
    fingerprint(): string;
    /** Whether it has crashed so many servers that it is not sent again. */
    isExhausted(): boolean;
    /**
     * Records that the connection to the server was lost while it may have run the request. Calls `onDecided` when it is
     * known whether the request may be sent again: at once for a first loss, then when the lost servers are examined.
     */
    recordLoss(attempt: WatchedAttempt, onDecided: () => void): void;
    /** Records that the server has not responded in the time that was expected; the attempt goes on. */
    recordDelay(attempt: WatchedAttempt): void;
    /** Records that the attempt was ended without a response. Its server may still run the request, and crash later. */
    recordAbandoned(attempt: WatchedAttempt): void;
    /** Records that a server has responded with a failure: it has survived the request so far. */
    recordFailure(): void;
    /** Records that a server has run the request to a good end, and so has not crashed. */
    recordSuccess(): void;
    /** Must be called when the request has ended. `wasRun` tells whether a server may have run it. */
    end(wasRun: boolean): void;
}

/** What was found out about a server that has not responded to a request. */
export interface LossExamination {
    requestId: string;
    fingerprint: string;
    serverId: string;
    /** How the attempt ended. */
    loss: AttemptLoss;
    verdict: ServerVerdict;
    /** Crashes that are known of the request of this caller now, and of the request whoever sends it. */
    crashes: number;
    crashesOfAll: number;
}

/** How an attempt ended without a response. */
export enum AttemptLoss {
    ConnectionLost = "connection-lost",
    /** The response is late; the attempt goes on. */
    Delayed = "delayed",
    /** The instance ended it, at the deadline or since the caller had left. */
    Abandoned = "abandoned",
}

/** A success that cleared a suspicion. */
export interface ClearedSuspicion {
    requestId: string;
    fingerprint: string;
    /** Crashes that were known of the request before. */
    crashes: number;
}

/** Is told why requests are, or are no longer, suspected to crash servers. */
export interface CrashObserver {
    onExamined(examination: LossExamination): void;
    onCleared(cleared: ClearedSuspicion): void;
}

export interface CrashWatchOptions {
    requestId: string;
    clock: Clock;
    suspects: CrashSuspects;
    examiner: ServerExaminer;
    observer: CrashObserver;
    identify: () => RequestIdentity;
    beginTrial: BeginTrial;
}

/** Begins the trial of a request, unless another instance has begun it. Resolves with whether this instance may send it. */
export type BeginTrial = (identity: RequestIdentity) => Promise<boolean>;

/** A time after the end of an attempt at which its server is examined. Times are in milliseconds. */
interface AbandonedCheck {
    atMs: number;
    /** A response from this time on shows that the server has survived. */
    survivedMs: number;
    /** Whether a server that lives then speaks for the request. */
    provesSurvival: boolean;
    /** Whether a server that shuts down is left out, since it may have ended as it had announced. */
    skipsLeaving: boolean;
}

const abandonedChecks: readonly AbandonedCheck[] = [
    { atMs: 250, survivedMs: 0, provesSurvival: false, skipsLeaving: false },
    { atMs: 1500, survivedMs: 300, provesSurvival: true, skipsLeaving: false },
    { atMs: 3000, survivedMs: 2500, provesSurvival: false, skipsLeaving: true },
    { atMs: 6000, survivedMs: 5500, provesSurvival: false, skipsLeaving: true },
];

export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
    const { requestId, clock, suspects, examiner, observer } = options;
    /** Holds the request; undefined once the identity is complete, so that a body is not kept while servers are examined. */
    let createIdentity: (() => RequestIdentity) | undefined = options.identify;
    let identity: RequestIdentity | undefined;
    let losses = 0;
    let isTrial = false;
    let hasEnded = false;
    /** Attempts whose server is known to have crashed. */
    const crashed = new Set<WatchedAttempt>();
    /** Resolves when the earlier losses have been examined. */
    let examined: Promise<void> = Promise.resolve();

    const identify = () => (identity ??= createIdentity!());

    const completeIdentity = (): string => {
        const { request, caller } = identify();
        const fingerprint = caller();
        identity = { request, caller: () => fingerprint };
        createIdentity = undefined;
        return fingerprint;
    };

    const countCrashes = () =>
        suspects.isEmpty() ? { ofCaller: 0, ofAll: 0 } : suspects.countCrashes(identify());
    const rejectedMs = () => (suspects.isEmpty() ? 0 : suspects.rejectedMs(identify()));

    /**
     * `lostAt` is the time at which the end of the server is known, if there was no lost connection: attempts that were sent
     * before went to servers that nobody had missed, and do not count as further crashes.
     */
    const recordVerdict = (
        attempt: WatchedAttempt,
        loss: AttemptLoss,
        lostAt: number,
        verdict: ServerVerdict,
    ) => {
        if (isCrash(verdict) && !crashed.has(attempt)) {
            crashed.add(attempt);
            const { sentAt, server } = attempt;
            const hasEnded = verdict === ServerVerdict.Gone || verdict === ServerVerdict.Replaced;
            suspects.recordCrash(
                identify(),
                { serverId: server.record.id, sentAt, lostAt, hasEnded },
                isTrial,
            );
        }
        const { ofCaller, ofAll } = countCrashes();
        observer.onExamined({
            requestId,
            fingerprint: identify().caller(),
            serverId: attempt.server.record.id,
            loss,
            verdict,
            crashes: ofCaller,
            crashesOfAll: ofAll,
        });
    };

    const withdrawTrial = () => {
        if (isTrial) {
            isTrial = false;
            suspects.withdrawTrial(identify());
        }
    };

    /** A trial whose server lives is over, though it has not cleared the request. */
    const recordSurvival = () => {
        if (!suspects.isEmpty()) {
            suspects.recordSurvival(identify());
            withdrawTrial();
        }
    };

    const examineLoss = async (attempt: WatchedAttempt, lostAt: number) =>
        recordVerdict(
            attempt,
            AttemptLoss.ConnectionLost,
            lostAt,
            await examiner.examineLoss(attempt, lostAt),
        );

    const examineDelay = async (attempt: WatchedAttempt) => {
        const delayedAt = clock.now();
        const verdict = await examiner.examineDelay(attempt, delayedAt);
        if (isCrash(verdict)) {
            recordVerdict(attempt, AttemptLoss.Delayed, clock.now(), verdict);
        }
    };

    /** Returns the verdict, or undefined if the server is not examined. */
    const checkAbandoned = async (
        attempt: WatchedAttempt,
        endedAt: number,
        { atMs, survivedMs, provesSurvival, skipsLeaving }: AbandonedCheck,
    ): Promise<ServerVerdict | undefined> => {
        await clock.sleep(endedAt + atMs - clock.now());
        if (crashed.has(attempt) || (skipsLeaving && attempt.server.isLeaving)) {
            return undefined;
        }
        const verdict = await examiner.examineSilence(attempt, endedAt, endedAt + survivedMs);
        if (isCrash(verdict)) {
            recordVerdict(attempt, AttemptLoss.Abandoned, clock.now(), verdict);
        } else if (provesSurvival && verdict === ServerVerdict.Alive && !crashed.has(attempt)) {
            suspects.recordSurvival(identify());
        }
        return verdict;
    };

    /** A server may go on with a request whose caller has left, and end seconds later. */
    const examineAbandoned = async (attempt: WatchedAttempt, endedAt: number) => {
        let verdict: ServerVerdict | undefined;
        for (const check of abandonedChecks) {
            verdict = await checkAbandoned(attempt, endedAt, check);
            if (verdict === undefined || isCrash(verdict)) {
                return;
            }
        }
        if (verdict === ServerVerdict.Alive) {
            withdrawTrial();
        }
    };

    return {
        rejectedMs,
        needsTrial: () => !suspects.isEmpty() && suspects.needsTrial(identify()),
        beginTrial: async () => {
            isTrial = await options.beginTrial(identify());
            if (hasEnded) {
                withdrawTrial();
            }
            return isTrial;
        },
        isSuspect: () => {
            const { ofCaller, ofAll } = countCrashes();
            return losses > 0 || ofCaller > 0 || ofAll > 0;
        },
        fingerprint: completeIdentity,
        isExhausted: () => countCrashes().ofCaller >= trialCrashes || rejectedMs() > 0,
        recordLoss: (attempt, onDecided) => {
            losses += 1;
            const lostAt = clock.now();
            const isFirst = losses === 1 && countCrashes().ofAll === 0;
            examined = examined.then(() => examineLoss(attempt, lostAt));
            if (isFirst) {
                onDecided();
            } else {
                void examined.then(onDecided);
            }
        },
        recordDelay: attempt => void examineDelay(attempt),
        recordAbandoned: attempt => {
            if (!crashed.has(attempt)) {
                completeIdentity();
                void examineAbandoned(attempt, clock.now());
            }
        },
        recordFailure: recordSurvival,
        recordSuccess: () => {
            const crashes = suspects.isEmpty() ? 0 : suspects.recordSuccess(identify());
            if (crashes > 0) {
                observer.onCleared({
                    requestId,
                    fingerprint: identify().caller(),
                    crashes,
                });
            }
        },
        end: wasRun => {
            hasEnded = true;
            if (!wasRun) {
                withdrawTrial();
            }
        },
    };
}
