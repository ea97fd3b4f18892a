/**
 * Finds out what has happened to members that do not respond while this one has no contact with any other. Members that
 * responded last are called first, then all. Where none responds, a witness knows whether anybody misses this member: then it
 * is cut off, and keeps its view. Otherwise the others are gone.
 */
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, Member } from "@waxwingdale/core";
import type { FailureDetector } from "./failure-detector.js";
import { ProbeOutcome } from "./failure-detector.js";
import type { IsolationDetector } from "./isolation-detector.js";
import type { LocalView } from "./local-view.js";
import type { MemberTable } from "./member-table.js";
import type { Witness } from "./witness.js";

export interface IsolationResolver {
    /** Records the outcome of a call to a member, and begins to find out once others no longer respond. */
    recordCheck(outcome: ProbeOutcome): void;
    stop(): void;
}

export interface IsolationResolverOptions {
    view: LocalView;
    table: MemberTable;
    isolationDetector: IsolationDetector;
    detector: FailureDetector;
    /** Without it, a member that has no contact suspects nobody. */
    witness?: Witness | undefined;
    clock: Clock;
    logger: Logger;
}

/** Consecutive failed checks from which all members are called at once, and failed calls to the peers of the last contacts. */
const manyFailures = 4;
const manyRecentPeers = 2;
/** Concurrent calls, and members that are called at once at most: those of the own zone and region first. */
const concurrentCalls = 48;
const maxCalledMembers = 128;
/** Minimum time in milliseconds between two times at which all members are called. */
const callAllIntervalMs = 3000;
/** Time in milliseconds without a contact after which the witness is asked: others have missed this member by then. */
const minSilenceMs = 3000;
/** Time in milliseconds between two questions to the witness: less than a verdict holds. Doubles while it has bad news. */
const askIntervalMs = 2500;
const maxAskIntervalMs = 10_000;
/** Interval in milliseconds at which a contact is looked for meanwhile. */
const pollMs = 250;

enum Verdict {
    /** Nobody misses this member. */
    Alone,
    CutOff,
    /** The witness does not respond, or there is none. */
    Unknown,
}

interface FailedMember {
    member: Member;
    outcome: ProbeOutcome;
}

export function createIsolationResolver(options: IsolationResolverOptions): IsolationResolver {
    const { view, table, isolationDetector, detector, witness, clock, logger } = options;
    let failedInARow = 0;
    let calledAllAt = -Infinity;
    let running: Promise<void> | undefined;
    const stopping = new AbortController();
    const { signal } = stopping;

    const closenessOf = ({ region, zone }: Member): number => {
        const self = view.self();
        return zone === self.zone ? 0 : region === self.region ? 1 : 2;
    };

    const others = (hasStatus: (status: MemberStatus) => boolean): Member[] =>
        table.all().filter(({ id, status }) => id !== view.self().id && hasStatus(status));
    const othersLive = () => others(status => status === MemberStatus.Live);
    const othersNotDead = () => others(status => status !== MemberStatus.Dead);

    /** Calls members, and returns those that did not respond. */
    const callMembers = async (members: readonly Member[]): Promise<FailedMember[]> => {
        const failed: FailedMember[] = [];
        const queue = [...members];
        const callNext = async () => {
            for (
                let member = queue.shift();
                member !== undefined && !signal.aborted;
                member = queue.shift()
            ) {
                const outcome = await detector.probe(member);
                if (outcome !== ProbeOutcome.Alive) {
                    failed.push({ member, outcome });
                }
            }
        };
        await Promise.all(Array.from({ length: Math.min(concurrentCalls, queue.length) }, callNext));
        return failed;
    };

    const callRecentPeers = async (): Promise<FailedMember[]> => {
        const peers = isolationDetector.recentPeers().map(id => table.find(id));
        return callMembers(
            peers.filter(peer => peer !== undefined).filter(({ status }) => status !== MemberStatus.Dead),
        );
    };

    const callAll = async (): Promise<FailedMember[]> => {
        calledAllAt = clock.now();
        const members = othersLive().sort((a, b) => closenessOf(a) - closenessOf(b));
        const failed = await callMembers(members.slice(0, maxCalledMembers));
        logger.info("membership-called-all", { members: members.length, failed: failed.length });
        return failed;
    };

    const suspectAll = (failed: readonly FailedMember[]) => {
        failed.forEach(({ member, outcome }) => detector.suspect(member, outcome));
    };

    const ask = async (): Promise<Verdict> => {
        try {
            const isMissed = await witness!.isMissed(view.contactIncarnation());
            return isMissed ? Verdict.CutOff : Verdict.Alone;
        } catch (err) {
            logger.warn("membership-witness-failed", { error: getErrorMessage(err) });
            return Verdict.Unknown;
        }
    };

    const hasContactSince = (time: number) => (isolationDetector.lastContactAt() ?? -Infinity) >= time;

    const isOver = () =>
        signal.aborted || isolationDetector.hasRecentContact() || othersNotDead().length === 0;

    const waitUnlessOver = async (waitMs: number) => {
        const endAt = clock.now() + waitMs;
        while (!isOver() && clock.now() < endAt) {
            await clock.sleep(Math.min(pollMs, endAt - clock.now()), signal);
        }
    };

    /** Asks the witness until there is a contact, or all others are declared dead. */
    const askUntilResolved = async (failed: readonly FailedMember[]) => {
        const silentMs = clock.now() - (isolationDetector.lastContactAt() ?? -Infinity);
        await waitUnlessOver(minSilenceMs - silentMs);
        for (let intervalMs = askIntervalMs; !isOver(); await waitUnlessOver(intervalMs)) {
            const verdict = await ask();
            if (isOver()) {
                return;
            }
            logger.info("membership-verdict", { verdict: Verdict[verdict] });
            isolationDetector.recordVerdict(verdict === Verdict.Alone);
            if (verdict === Verdict.Alone) {
                suspectAll(failed);
            } else if (verdict === Verdict.CutOff) {
                view.withdrawSuspicions();
                intervalMs = Math.min(maxAskIntervalMs, 2 * intervalMs);
            }
        }
    };

    const hasLostMany = () => failedInARow >= manyFailures;

    const resolve = async () => {
        const lostPeers = await callRecentPeers();
        const mayHaveLostMany = lostPeers.length >= manyRecentPeers || hasLostMany();
        if (!mayHaveLostMany && isolationDetector.hasRecentContact()) {
            return;
        }
        const failed = await callAll();
        witness?.reportMissing(failed.map(({ member }) => member));
        if (hasContactSince(calledAllAt)) {
            // The calls may have taken longer than a contact counts.
            await callRecentPeers();
        }
        if (isolationDetector.hasRecentContact()) {
            suspectAll(failed);
        } else if (witness !== undefined) {
            await askUntilResolved(failed);
        }
    };

    return {
        recordCheck: outcome => {
            failedInARow = outcome === ProbeOutcome.Alive ? 0 : failedInARow + 1;
            const isNeeded = !isolationDetector.isTrusted() || hasLostMany();
            const isDue = clock.now() - calledAllAt >= callAllIntervalMs;
            if (isNeeded && isDue && running === undefined && !signal.aborted) {
                running = resolve().finally(() => (running = undefined));
            }
        },
        stop: () => stopping.abort(),
    };
}
