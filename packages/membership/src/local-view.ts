/** This entry's view of the fleet: its own row, the rows of the others, and the rules by which rows replace others. */
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, Member } from "@waxwingdale/core";
import { compareRows, isServing } from "./member-row.js";
import type { MemberTable } from "./member-table.js";
import type { MembershipLimits } from "./membership-limits.js";
import type { Rumors } from "./rumors.js";
import type { Suspicions } from "./suspicions.js";

/** Rows in the table; bounds the memory that a faulty peer can take. Ten times the largest fleet. */
const maxRows = 4096;
/**
 * Time in milliseconds after which a death is passed on as a suspicion. Within this time a death has spread; later it
 * may come from the other side of a cut, where the member lives and must get the time to refute.
 */
const freshDeathMs = 10_000;
/** Time in milliseconds after which another process with this id and a greater incarnation replaces this one. */
const settledMs = 30_000;

/** How rows reached this entry. */
export enum RowOrigin {
    /** Recent changes, which spread further. */
    Exchange,
    /** Rows that this entry lacked; a row of a new member is old news to the others. */
    Sync,
}

export interface LocalView {
    self(): Member;
    /** Changes the own row under a new incarnation, so that no row that others hold can win over it. */
    changeSelf(change: Partial<Member>): void;
    /**
     * Merges rows from a peer and returns the rows that this entry knows better.
     * `from` is the row of the peer itself, which speaks and so lives.
     */
    merge(from: Member, rows: Member[], origin: RowOrigin): Member[];
    /** Marks a member as unreachable unless its row has changed since. */
    suspect(member: Member, waitMs: number): void;
    /** Declares a suspect dead whose time is over. */
    declareDead(row: Member): void;
    /** Drops the rows of members that are dead for the retention time. */
    forgetOld(): void;
    onChange(listener: () => void): () => void;
}

export interface LocalViewOptions {
    self: Member;
    table: MemberTable;
    rumors: Rumors;
    suspicions: () => Suspicions;
    clock: Clock;
    logger: Logger;
    limits: MembershipLimits;
    onNewMember: (id: string) => void;
}

export function createLocalView(options: LocalViewOptions): LocalView {
    const { table, rumors, clock, logger, limits } = options;
    const listeners = new Set<() => void>();
    /** Incarnations of dead members whose rows were dropped, so that a peer that drops them later cannot return them. */
    const forgotten = new Map<string, { incarnation: number; at: number }>();
    const startedAt = clock.now();
    let self = { ...options.self };
    let isChanged = false;

    const store = (member: Member, spreads = true) => {
        table.set(member, clock.now());
        if (spreads) {
            rumors.add(member.id);
        }
        isChanged = true;
    };

    const notify = () => {
        if (!isChanged) {
            return;
        }
        isChanged = false;
        for (const listener of listeners) {
            try {
                listener();
            } catch (err) {
                logger.error("membership-listener-failed", { error: getErrorMessage(err) });
            }
        }
    };

    const changeSelf = (change: Partial<Member>, floor = self.incarnation) => {
        self = { ...self, ...change, incarnation: floor + 1 };
        store(self);
    };

    const isReplacedBy = (row: Member) =>
        row.peerAddress !== self.peerAddress &&
        row.incarnation > self.incarnation &&
        row.status !== MemberStatus.Dead &&
        clock.now() - startedAt > settledMs;

    const mergeOwnRow = (row: Member): Member | undefined => {
        const order = compareRows(row, self);
        if (order <= 0) {
            return order < 0 ? self : undefined;
        }
        if (isReplacedBy(row)) {
            logger.error("member-replaced", { by: row.peerAddress, incarnation: row.incarnation });
            self = { ...self, status: MemberStatus.Dead, ready: false };
            store(row);
            return undefined;
        }
        logger.warn("membership-refuted", { status: row.status, incarnation: row.incarnation });
        // Others may have taken over what a dead member held.
        const isDeclaredDead = row.status === MemberStatus.Dead;
        changeSelf(isDeclaredDead ? { session: self.session + 1 } : {}, row.incarnation);
        return self;
    };

    /** Returns the known row when it is greater than `row`. */
    const mergeRow = (row: Member, isSpeaking: boolean, origin: RowOrigin): Member | undefined => {
        if (row.id === self.id) {
            return mergeOwnRow(row);
        }
        const current = table.find(row.id);
        if (current === undefined) {
            const tombstone = forgotten.get(row.id);
            if (tombstone !== undefined && tombstone.incarnation >= row.incarnation && !isSpeaking) {
                return accuseForgotten(row, tombstone.incarnation);
            }
            if (table.all().length >= maxRows) {
                logger.warn("membership-table-full", { rows: maxRows });
                return undefined;
            }
            forgotten.delete(row.id);
            options.onNewMember(row.id);
        } else {
            const order = compareRows(row, current);
            if (order <= 0) {
                return order < 0 ? current : undefined;
            }
        }
        replace(row, current, current !== undefined || isSpeaking || origin === RowOrigin.Exchange);
        return undefined;
    };

    /** A peer that holds a forgotten member as live gets a suspicion, which the member refutes if it lives. */
    const accuseForgotten = (row: Member, incarnation: number): Member | undefined =>
        isServing(row) ? { ...row, incarnation, status: MemberStatus.Suspect } : undefined;

    const replace = (row: Member, current: Member | undefined, spreads = true) => {
        store(row, spreads);
        if (current?.status !== row.status || current.incarnation !== row.incarnation) {
            const { id, status, incarnation, region } = row;
            logger.info("member-status", { member: id, status, from: current?.status, incarnation, region });
        }
        if (row.status === MemberStatus.Suspect) {
            options.suspicions().watch(row, limits.suspicionMs);
        } else {
            options.suspicions().cancel(row.id);
        }
    };

    const soften = (row: Member): Member => {
        const isOldDeath =
            row.status === MemberStatus.Dead && clock.now() - table.changedAt(row.id) > freshDeathMs;
        return isOldDeath ? { ...row, status: MemberStatus.Suspect } : row;
    };

    store(self);

    return {
        self: () => self,
        changeSelf: change => {
            changeSelf(change);
            notify();
        },
        merge: (from, rows, origin) => {
            const better = rows.map(row => mergeRow(row, false, origin)).filter(row => row !== undefined);
            const betterSender = mergeRow(from, true, origin);
            if (table.find(from.id)?.status === MemberStatus.Leaving) {
                options.suspicions().cancel(from.id);
            }
            notify();
            const corrections = better.filter(row => row.id !== from.id).map(soften);
            return betterSender === undefined ? corrections : [betterSender, ...corrections];
        },
        suspect: (member, waitMs) => {
            const current = table.find(member.id);
            if (current?.incarnation !== member.incarnation) {
                return;
            }
            if (current.status === MemberStatus.Live) {
                const row = { ...current, status: MemberStatus.Suspect };
                replace(row, current);
                options.suspicions().watch(row, waitMs);
                notify();
            } else if (
                current.status === MemberStatus.Leaving &&
                !options.suspicions().isWatched(current.id)
            ) {
                // Suspect is less than leaving at the same incarnation, so a leaving member is only watched.
                options.suspicions().watch(current, waitMs);
            }
        },
        declareDead: row => {
            const current = table.find(row.id);
            if (current?.incarnation === row.incarnation && current.status === row.status) {
                replace({ ...current, status: MemberStatus.Dead }, current);
                notify();
            }
        },
        forgetOld: () => {
            const before = clock.now() - limits.deadRetentionMs;
            for (const { id, status, incarnation } of table.all()) {
                if (status === MemberStatus.Dead && id !== self.id && table.changedAt(id) <= before) {
                    table.remove(id);
                    rumors.remove(id);
                    forgotten.set(id, { incarnation, at: clock.now() });
                    isChanged = true;
                }
            }
            for (const [id, { at }] of forgotten) {
                if (at <= before) {
                    forgotten.delete(id);
                }
            }
            notify();
        },
        onChange: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
}
