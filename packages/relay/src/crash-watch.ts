/** Follows one request through its attempts and tells whether it may crash the servers that run it. */
import type { BackendState } from "@waxwingdale/balancing";
import type { Clock } from "@waxwingdale/core";
import type { CrashSuspects } from "./crash-suspects.js";

export interface CrashWatch {
    /** Returns for how many milliseconds the request is rejected; 0 if it is not. */
    quarantineMs(): number;
    /** Number of crashes that are known of the request; an attempt keeps it for `recordLoss`. */
    knownCrashes(): number;
    /** Whether it may have crashed a server: it is not sent to two at the same time then. */
    isSuspect(): boolean;
    /** Whether it has crashed so many servers that it is not sent again. */
    isExhausted(): boolean;
    /**
     * Records that the connection to the server was lost while it may have run the request. Calls `onDecided` when it is
     * known whether the request may be sent again: at once for the first loss, then when the lost servers are examined.
     */
    recordLoss(attempt: LostAttempt, onDecided: () => void): void;
    /** Records that a server has answered the request, and so has not crashed. */
    recordResponse(): void;
}

export interface LostAttempt {
    server: BackendState;
    sentAt: number;
    /** `knownCrashes` when the attempt began. */
    crashesBefore: number;
}

/** What was found out about a server to which a request's connection was lost. */
export interface LossExamination {
    requestId: string;
    serverId: string;
    verdict: ServerVerdict;
    /** Crashes that are known of the request now. */
    crashes: number;
}

export enum ServerVerdict {
    Alive = "alive",
    Crashed = "crashed",
}

/** A response that cleared a suspicion. */
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
    observer: CrashObserver;
    /** Resolves to whether the server accepts connections. */
    isServerAlive: (server: BackendState) => Promise<boolean>;
    fingerprint: () => string;
}

/** Number of crashes after which a request is not sent again for the same attempt of its caller. */
const maxCrashes = 2;

export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
    const { clock, suspects } = options;
    let fingerprint: string | undefined;
    let losses = 0;
    let lastLossAt = -Infinity;
    /** Crashes that the attempts so far have shown. */
    let shownCrashes = 0;
    /** Resolves when the earlier losses have been examined. */
    let examined: Promise<void> = Promise.resolve();

    const getFingerprint = () => (fingerprint ??= options.fingerprint());
    const knownCrashes = () => (suspects.isEmpty() ? 0 : suspects.countCrashes(getFingerprint()));

    const examine = async ({ server, crashesBefore }: LostAttempt, isAfterLast: boolean) => {
        const isAlive = await options.isServerAlive(server);
        if (!isAlive) {
            const before = Math.max(crashesBefore, isAfterLast ? shownCrashes : 0);
            shownCrashes = suspects.recordCrash(getFingerprint(), before);
        }
        options.observer.onExamined({
            requestId: options.requestId,
            serverId: server.record.id,
            verdict: isAlive ? ServerVerdict.Alive : ServerVerdict.Crashed,
            crashes: knownCrashes(),
        });
    };

    return {
        quarantineMs: () => (suspects.isEmpty() ? 0 : suspects.quarantineMs(getFingerprint())),
        knownCrashes,
        isSuspect: () => losses > 0 || knownCrashes() > 0,
        isExhausted: () => shownCrashes >= maxCrashes || knownCrashes() >= maxCrashes,
        recordLoss: (attempt, onDecided) => {
            losses += 1;
            const isAfterLast = attempt.sentAt >= lastLossAt;
            lastLossAt = clock.now();
            examined = examined.then(() => examine(attempt, isAfterLast));
            if (losses === 1) {
                onDecided();
            } else {
                void examined.then(onDecided);
            }
        },
        recordResponse: () => {
            const crashes = knownCrashes();
            if (crashes > 0) {
                suspects.recordResponse(getFingerprint());
                options.observer.onCleared({
                    requestId: options.requestId,
                    fingerprint: getFingerprint(),
                    crashes,
                });
            }
        },
    };
}
