/** The local view of the fleet: the row of this member, the rows of the others, and the rules for merging them. */
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, Member } from "@waxwingdale/core";
import { compareRows, isServing } from "./member-row.js";
import type { MemberTable } from "./member-table.js";
import type { MembershipLimits } from "./membership-limits.js";
import type { Rumors } from "./rumors.js";
import type { Suspicions } from "./suspicions.js";

/** Limits the memory that a faulty peer can use. Ten times the size of the largest fleet. */
const maxRows = 4096;
/**
 * Milliseconds after which a death is sent as a suspicion. All members learn of a death within this time. A receiver
 * that still does not know of it may be on the other side of a partition, where the member is alive and can refute it.
 */
const recentDeathMs = 10_000;
/** Uptime in milliseconds after which this process gives way to another one with its id and a greater incarnation. */
const replacementGraceMs = 30_000;

/** How this member received rows. */
export enum RowOrigin {
    /** Recent changes, which are spread further. */
    Exchange,
    /** Rows that this member lacked. New members among them are not spread further, since others already know them. */
    Sync,
}

export interface LocalView {
    self(): Member;
    /** Changes the row of this member under a new incarnation, so that it wins over all copies that others have. */
    updateSelf(change: Partial<Member>): void;
    /**
     * Merges rows from a peer and returns the rows for which this member has newer versions.
     * `from` is the row of the peer itself, which is alive because it sent the message.
     */
    merge(from: Member, rows: Member[], origin: RowOrigin): Member[];
    /** This member's incarnation at the last message from a peer, or since it was renewed. */
    contactIncarnation(): number;
    /** Takes a new incarnation: what others have noticed before no longer holds. */
    renew(): void;
    /** Marks a member as unreachable unless its row has changed since. */
    suspect(member: Member, waitMs: number): void;
    /** Takes back all suspicions, since this member has found itself to be cut off. */
    withdrawSuspicions(): void;
    /** Declares a suspect dead that did not refute in time. */
    declareDead(row: Member): void;
    /** Removes the rows of members that have been dead for the retention time. */
    removeExpired(): void;
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
    /** Incarnations of dead members that were removed, so that a peer that removes them later cannot add them again. */
    const tombstones = new Map<string, { incarnation: number; at: number }>();
    const startedAt = clock.now();
    let self = { ...options.self };
    let contactIncarnation = self.incarnation;
    let isChanged = false;

    const setRow = (member: Member, shouldSpread = true) => {
        table.set(member, clock.now());
        if (shouldSpread) {
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

    const updateSelf = (change: Partial<Member>, floor = self.incarnation) => {
        self = { ...self, ...change, incarnation: floor + 1 };
        setRow(self);
    };

    const isReplacedBy = (row: Member) =>
        row.peerAddress !== self.peerAddress &&
        row.incarnation > self.incarnation &&
        row.status !== MemberStatus.Dead &&
        clock.now() - startedAt > replacementGraceMs;

    const mergeOwnRow = (row: Member): Member | undefined => {
        const order = compareRows(row, self);
        if (order <= 0) {
            return order < 0 ? self : undefined;
        }
        if (isReplacedBy(row)) {
            logger.error("member-replaced", { by: row.peerAddress, incarnation: row.incarnation });
            self = { ...self, status: MemberStatus.Dead, ready: false };
            setRow(row);
            return undefined;
        }
        logger.warn("membership-refuted", { status: row.status, incarnation: row.incarnation });
        // Other members may have taken over the resources of a member that was declared dead.
        const isDeclaredDead = row.status === MemberStatus.Dead;
        updateSelf(isDeclaredDead ? { session: self.session + 1 } : {}, row.incarnation);
        return self;
    };

    /** Returns the known row if it is newer than `row`. */
    const mergeRow = (row: Member, isSender: boolean, origin: RowOrigin): Member | undefined => {
        if (row.id === self.id) {
            return mergeOwnRow(row);
        }
        const current = table.find(row.id);
        if (current === undefined) {
            const tombstone = tombstones.get(row.id);
            if (tombstone !== undefined && tombstone.incarnation >= row.incarnation && !isSender) {
                return suspectRemoved(row, tombstone.incarnation);
            }
            if (table.all().length >= maxRows) {
                logger.warn("membership-table-full", { rows: maxRows });
                return undefined;
            }
            tombstones.delete(row.id);
            options.onNewMember(row.id);
        } else {
            const order = compareRows(row, current);
            if (order <= 0) {
                return order < 0 ? current : undefined;
            }
        }
        replace(row, current, current !== undefined || isSender || origin === RowOrigin.Exchange);
        return undefined;
    };

    /** Returns a suspicion for a peer that considers a removed member live. The member refutes it if it is alive. */
    const suspectRemoved = (row: Member, incarnation: number): Member | undefined =>
        isServing(row) ? { ...row, incarnation, status: MemberStatus.Suspect } : undefined;

    const replace = (row: Member, current: Member | undefined, shouldSpread = true) => {
        setRow(row, shouldSpread);
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

    const downgradeOldDeath = (row: Member): Member => {
        const isOldDeath =
            row.status === MemberStatus.Dead && clock.now() - table.changedAt(row.id) > recentDeathMs;
        return isOldDeath ? { ...row, status: MemberStatus.Suspect } : row;
    };

    setRow(self);

    return {
        self: () => self,
        updateSelf: change => {
            updateSelf(change);
            notify();
        },
        merge: (from, rows, origin) => {
            const newer = rows.map(row => mergeRow(row, false, origin)).filter(row => row !== undefined);
            const newerSender = mergeRow(from, true, origin);
            contactIncarnation = self.incarnation;
            if (table.find(from.id)?.status === MemberStatus.Leaving) {
                options.suspicions().cancel(from.id);
            }
            notify();
            const corrections = newer.filter(row => row.id !== from.id).map(downgradeOldDeath);
            return newerSender === undefined ? corrections : [newerSender, ...corrections];
        },
        contactIncarnation: () => contactIncarnation,
        renew: () => {
            updateSelf({});
            contactIncarnation = self.incarnation;
            notify();
        },
        withdrawSuspicions: () => {
            table
                .all()
                .filter(({ status }) => status === MemberStatus.Suspect)
                .forEach(row => replace({ ...row, status: MemberStatus.Live }, row, false));
            notify();
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
                // Suspect does not win over leaving at the same incarnation, so this only starts the timer.
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
        removeExpired: () => {
            const before = clock.now() - limits.deadRetentionMs;
            for (const { id, status, incarnation } of table.all()) {
                if (status === MemberStatus.Dead && id !== self.id && table.changedAt(id) <= before) {
                    table.remove(id);
                    rumors.remove(id);
                    tombstones.set(id, { incarnation, at: clock.now() });
                    isChanged = true;
                }
            }
            for (const [id, { at }] of tombstones) {
                if (at <= before) {
                    tombstones.delete(id);
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
