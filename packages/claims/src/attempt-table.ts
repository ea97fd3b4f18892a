/**
 * Attempts of this entry: those that wait for a claim, those that hold one, and ends that the shard's owner has not
 * acknowledged. An attempt that held a claim stays until its end is acknowledged, because the owner takes an attempt
 * that this table does not know for one that never ran.
 */
import type { ClaimOutcome, Clock, Random } from "@waxwingdale/core";
import type {
    AttemptStatus,
    AttemptRef,
    AttemptOutcome,
    FinishMessage,
    FinishReply,
} from "./claim-messages.js";

/** Attempts that the table holds; no claim is begun above it. */
const maxAttempts = 20_000;
/** Bytes of outcomes that wait for acknowledgement; an outcome above it is kept as unknown. */
const maxWaitingBytes = 64 * 1024 * 1024;
/** Ends and bytes of outcomes in one message. */
const maxEndsInMessage = 64;
const maxBytesInMessage = 1024 * 1024;
const firstRetryMs = 100;
const maxRetryMs = 2000;
/** Time after its deadline at which a claim whose holder reported no end becomes unknown. */
const holderTimeoutMs = 10 * 60_000;
const sweepIntervalMs = 60_000;

enum AttemptPhase {
    Pending = "pending",
    Granted = "granted",
    /** Has an end that is not acknowledged. */
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
    /** Sends ends to the owner of the shard. Any failure makes the table send them again. */
    send: (msg: FinishMessage) => Promise<FinishReply>;
}

export interface AttemptTable {
    /** Returns false when the table is full. */
    add(ref: AttemptRef, deadlineAt: number): boolean;
    /** Marks a pending attempt as holder of the claim; false when it is not pending. */
    grant(attemptId: string): boolean;
    isUsable(attemptId: string): boolean;
    /** Drops a pending attempt that certainly has no claim. */
    drop(attemptId: string): void;
    /** Ends a pending attempt that may have a claim it will not use. */
    abandon(attemptId: string): void;
    /** Ends an attempt that holds a claim; other attempts are ignored. */
    end(attemptId: string, end: ClaimOutcome): void;
    answer(session: string, attemptId: string): AttemptStatus;
    state(): { attempts: number; unacknowledged: number; waitingBytes: number };
    close(): void;
}

export function createAttemptTable({ clock, random, session, send }: AttemptTableOptions): AttemptTable {
    const attempts = new Map<string, Attempt>();
    /** Ended attempts by shard, in the order of their ends. */
    const unacknowledged = new Map<number, Map<string, Attempt>>();
    const sending = new Set<number>();
    let waitingBytes = 0;
    let isClosed = false;

    const setEnd = (attempt: Attempt, end: ClaimOutcome) => {
        const fits = waitingBytes + getEndBytes(end) <= maxWaitingBytes;
        attempt.phase = AttemptPhase.Ended;
        attempt.end = fits ? end : { kind: "unknown" };
        waitingBytes += getEndBytes(attempt.end);
        const { shard, attemptId } = attempt.ref;
        const ofShard = unacknowledged.get(shard) ?? new Map<string, Attempt>();
        unacknowledged.set(shard, ofShard.set(attemptId, attempt));
        if (!sending.has(shard)) {
            void deliver(shard, ofShard);
        }
    };

    const deliver = async (shard: number, ofShard: Map<string, Attempt>) => {
        sending.add(shard);
        let retryMs = firstRetryMs;
        // Ends of one moment travel together.
        await Promise.resolve();
        while (ofShard.size > 0 && !isClosed) {
            const acknowledged = await trySend(shard, takeEnds(ofShard));
            for (const attemptId of acknowledged) {
                acknowledge(ofShard, attemptId);
            }
            if (acknowledged.length > 0) {
                retryMs = firstRetryMs;
            } else {
                await clock.sleep(retryMs * (0.5 + random()));
                retryMs = Math.min(2 * retryMs, maxRetryMs);
            }
        }
        sending.delete(shard);
    };

    const trySend = async (shard: number, ends: AttemptOutcome[]): Promise<string[]> => {
        try {
            const reply = await send({ shard, ends });
            return reply.kind === "ok" ? reply.value.acknowledged : [];
        } catch {
            return [];
        }
    };

    const acknowledge = (ofShard: Map<string, Attempt>, attemptId: string) => {
        const attempt = ofShard.get(attemptId);
        if (attempt?.end !== undefined) {
            waitingBytes -= getEndBytes(attempt.end);
            ofShard.delete(attemptId);
            attempts.delete(attemptId);
        }
    };

    const sweep = () => {
        for (const attempt of attempts.values()) {
            const isLeft = attempt.phase === AttemptPhase.Granted;
            if (isLeft && attempt.deadlineAt + holderTimeoutMs < clock.now()) {
                setEnd(attempt, { kind: "unknown" });
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
                setEnd(attempt, { kind: "not-run" });
            }
        },
        end: (attemptId, end) => {
            const attempt = attempts.get(attemptId);
            if (attempt?.phase === AttemptPhase.Granted) {
                setEnd(attempt, end);
            }
        },
        answer: (asked, attemptId) => ({
            sameSession: asked === session,
            active: attempts.has(attemptId),
        }),
        state: () => ({
            attempts: attempts.size,
            unacknowledged: [...unacknowledged.values()].reduce((sum, ofShard) => sum + ofShard.size, 0),
            waitingBytes,
        }),
        close: () => {
            isClosed = true;
            timer.cancel();
        },
    };
}

function getEndBytes(end: ClaimOutcome): number {
    return end.kind === "ran" ? (end.response.body?.length ?? 0) + 200 : 0;
}

function takeEnds(ofShard: Map<string, Attempt>): AttemptOutcome[] {
    const ends: AttemptOutcome[] = [];
    let bytes = 0;
    for (const { ref, end } of ofShard.values()) {
        bytes += getEndBytes(end!);
        if (ends.length >= maxEndsInMessage || (ends.length > 0 && bytes > maxBytesInMessage)) {
            break;
        }
        ends.push({ ...ref, end: end! });
    }
    return ends;
}
