/**
 * Attempts of this entry that are waiting for a claim, hold one, or have an outcome that the shard's owner has not
 * acknowledged. An attempt that held a claim stays in the table until its outcome is acknowledged: if the owner asks
 * about an attempt that is missing from the table, it concludes that the attempt never ran.
 */
import type { ClaimOutcome, Clock, Random } from "@waxwingdale/core";
import type {
    AttemptOutcome,
    AttemptRef,
    AttemptStatus,
    FinishMessage,
    FinishReply,
} from "./claim-messages.js";

/** When the table is full, no new claims are begun. */
const maxAttempts = 20_000;
/** Limit for unacknowledged outcomes. An outcome that would exceed it is recorded as unknown. */
const maxUnacknowledgedBytes = 64 * 1024 * 1024;
/** Limits for the outcomes in one message. */
const maxOutcomesPerMessage = 64;
const maxBytesPerMessage = 1024 * 1024;
const firstRetryMs = 100;
const maxRetryMs = 2000;
/** How long after its deadline a claim without a reported outcome becomes unknown. */
const holderTimeoutMs = 10 * 60_000;
const sweepIntervalMs = 60_000;

enum AttemptPhase {
    Pending = "pending",
    Granted = "granted",
    /** The outcome has not been acknowledged yet. */
    Ended = "ended",
}

interface Attempt {
    ref: AttemptRef;
    deadlineAt: number;
    phase: AttemptPhase;
    end?: ClaimOutcome;
}

export interface AttemptTableOptions {
    clock: Clock;
    random: Random;
    session: string;
    /** Sends outcomes to the owner of the shard. Retried after any failure. */
    send: (msg: FinishMessage) => Promise<FinishReply>;
}

export interface AttemptTable {
    /** Returns false if the table is full or closed, or already contains the attempt. */
    add(ref: AttemptRef, deadlineAt: number): boolean;
    /** Marks a pending attempt as the holder of its claim. Returns false if it is not pending. */
    grant(attemptId: string): boolean;
    isUsable(attemptId: string): boolean;
    /** Removes a pending attempt that is known to have no claim. */
    drop(attemptId: string): void;
    /** Records a pending attempt as not run, because it may have a claim that it will not use. */
    abandon(attemptId: string): void;
    /** Records the outcome of an attempt that holds a claim. Other attempts are ignored. */
    end(attemptId: string, end: ClaimOutcome): void;
    answer(session: string, attemptId: string): AttemptStatus;
    state(): { attempts: number; unacknowledged: number; waitingBytes: number };
    close(): void;
}

export function createAttemptTable({ clock, random, session, send }: AttemptTableOptions): AttemptTable {
    const attempts = new Map<string, Attempt>();
    /** Attempts with an unacknowledged outcome by shard, in the order in which they ended. */
    const unacknowledged = new Map<number, Map<string, Attempt>>();
    const deliveringShards = new Set<number>();
    let waitingBytes = 0;
    let isClosed = false;

    const setOutcome = (attempt: Attempt, end: ClaimOutcome) => {
        const fits = waitingBytes + getOutcomeBytes(end) <= maxUnacknowledgedBytes;
        attempt.phase = AttemptPhase.Ended;
        attempt.end = fits ? end : { kind: "unknown" };
        waitingBytes += getOutcomeBytes(attempt.end);
        const { shard, attemptId } = attempt.ref;
        const shardAttempts = unacknowledged.get(shard) ?? new Map<string, Attempt>();
        unacknowledged.set(shard, shardAttempts.set(attemptId, attempt));
        if (!deliveringShards.has(shard)) {
            void deliverOutcomes(shard, shardAttempts);
        }
    };

    const deliverOutcomes = async (shard: number, shardAttempts: Map<string, Attempt>) => {
        deliveringShards.add(shard);
        let retryMs = firstRetryMs;
        // Outcomes recorded in the same tick are sent in one message.
        await Promise.resolve();
        while (shardAttempts.size > 0 && !isClosed) {
            const acknowledged = await trySend(shard, selectOutcomes(shardAttempts));
            for (const attemptId of acknowledged) {
                acknowledge(shardAttempts, attemptId);
            }
            if (acknowledged.length > 0) {
                retryMs = firstRetryMs;
            } else {
                await clock.sleep(retryMs * (0.5 + random()));
                retryMs = Math.min(2 * retryMs, maxRetryMs);
            }
        }
        deliveringShards.delete(shard);
    };

    const trySend = async (shard: number, ends: AttemptOutcome[]): Promise<string[]> => {
        try {
            const reply = await send({ shard, ends });
            return reply.kind === "ok" ? reply.value.acknowledged : [];
        } catch {
            return [];
        }
    };

    const acknowledge = (shardAttempts: Map<string, Attempt>, attemptId: string) => {
        const attempt = shardAttempts.get(attemptId);
        if (attempt?.end !== undefined) {
            waitingBytes -= getOutcomeBytes(attempt.end);
            shardAttempts.delete(attemptId);
            attempts.delete(attemptId);
        }
    };

    const sweep = () => {
        for (const attempt of attempts.values()) {
            const isGranted = attempt.phase === AttemptPhase.Granted;
            if (isGranted && attempt.deadlineAt + holderTimeoutMs < clock.now()) {
                setOutcome(attempt, { kind: "unknown" });
            }
        }
        timer = clock.setTimer(sweepIntervalMs, sweep);
    };
    let timer = clock.setTimer(sweepIntervalMs, sweep);

    return {
        add: (ref, deadlineAt) => {
            if (isClosed || attempts.size >= maxAttempts || attempts.has(ref.attemptId)) {
                return false;
            }
            attempts.set(ref.attemptId, { ref, deadlineAt, phase: AttemptPhase.Pending });
            return true;
        },
        grant: attemptId => {
            const attempt = attempts.get(attemptId);
            if (isClosed || attempt?.phase !== AttemptPhase.Pending) {
                return false;
            }
            attempt.phase = AttemptPhase.Granted;
            return true;
        },
        isUsable: attemptId => {
            const attempt = attempts.get(attemptId);
            return !isClosed && attempt?.phase === AttemptPhase.Granted && clock.now() < attempt.deadlineAt;
        },
        drop: attemptId => {
            if (attempts.get(attemptId)?.phase === AttemptPhase.Pending) {
                attempts.delete(attemptId);
            }
        },
        abandon: attemptId => {
            const attempt = attempts.get(attemptId);
            if (attempt?.phase === AttemptPhase.Pending) {
                setOutcome(attempt, { kind: "not-run" });
            }
        },
        end: (attemptId, end) => {
            const attempt = attempts.get(attemptId);
            if (attempt?.phase === AttemptPhase.Granted) {
                setOutcome(attempt, end);
            }
        },
        answer: (querySession, attemptId) => ({
            sameSession: querySession === session,
            active: attempts.has(attemptId),
        }),
        state: () => ({
            attempts: attempts.size,
            unacknowledged: [...unacknowledged.values()].reduce(
                (sum, shardAttempts) => sum + shardAttempts.size,
                0,
            ),
            waitingBytes,
        }),
        close: () => {
            isClosed = true;
            timer.cancel();
        },
    };
}

function getOutcomeBytes(end: ClaimOutcome): number {
    return end.kind === "ran" ? (end.response.body?.length ?? 0) + 200 : 0;
}

function selectOutcomes(shardAttempts: Map<string, Attempt>): AttemptOutcome[] {
    const ends: AttemptOutcome[] = [];
    let bytes = 0;
    for (const { ref, end } of shardAttempts.values()) {
        bytes += getOutcomeBytes(end!);
        if (ends.length >= maxOutcomesPerMessage || (ends.length > 0 && bytes > maxBytesPerMessage)) {
            break;
        }
        ends.push({ ...ref, end: end! });
    }
    return ends;
}
