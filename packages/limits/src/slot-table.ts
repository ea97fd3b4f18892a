/** The slots that an entry owns, claims or borrows, and who uses them. */
import { MemberStatus, pickOwner } from "@waxwingdale/core";
import type { BackendServer, Clock, MemberView } from "@waxwingdale/core";
import type { LimitsConfig } from "./limits-config.js";
import { ClaimAnswer } from "./messages.js";
import type { Claim } from "./messages.js";

export enum SlotUse {
    Free = "free",
    /** A request of this entry runs on the slot, or may still run on it. */
    Running = "running",
    /** A peer has the slot. */
    Lent = "lent",
}

/** A slot that a peer has lent to this entry. */
export interface Loan {
    grantId: string;
    hop: number;
    owner: string;
    expiresAt: number;
}

export interface SlotRecord {
    readonly key: string;
    readonly serverId: string;
    readonly service: string;
    readonly index: number;
    use: SlotUse;
    /** Since when the slot has been free. */
    freeSince: number;
    /** This entry is the owner in its own view. */
    isOwn: boolean;
    /** The claim is settled: no other entry uses the slot. */
    isConfirmed: boolean;
    /** The entry had the slot before it lost contact or was paused. */
    wasConfirmed: boolean;
    /** The entry was the settled owner until its view changed, so it may hand the slot over. */
    mayHandOver: boolean;
    claimedAt: number;
    claimId: string;
    answers: Map<string, ClaimAnswer>;
    /** The former owner has given the slot up. */
    isGranted: boolean;
    /** Owner before this entry in its own view. */
    previousOwner: string | undefined;
    loan?: Loan;
    lent?: { grantId: string; borrower: string; expiresAt: number };
}

export interface SlotTableOptions {
    view: MemberView;
    servers: () => readonly BackendServer[];
    clock: Clock;
    cfg: LimitsConfig;
    /** Differs for each start of the entry. */
    run: string;
    /** Called when a slot becomes free for use. */
    onFree: (record: SlotRecord) => void;
    /** Called when a slot that this entry does not own any more is not used any more either. */
    onReleased: (deniedClaims: readonly { peer: string; claim: Claim }[]) => void;
}

export interface SlotTable {
    get(key: string): SlotRecord | undefined;
    records(): Iterable<SlotRecord>;
    /** Free records of a server that may be used now. */
    recordsOf(serverId: string): readonly SlotRecord[];
    isUsable(record: SlotRecord, now: number): boolean;
    /** Slots that a service can count on: owned or borrowed, and not lent. */
    countHeld(service: string): number;
    /** Calculates ownership again if the members or the servers have changed. */
    refresh(): void;
    /** Treats all owned slots as not owned until peers have answered or the takeover delay has passed. */
    restartClaims(): void;
    /** Peers that must answer a claim. */
    claimPeers(): readonly string[];
    claims(): Claim[];
    answerClaim(claim: Claim, peer: string): ClaimAnswer;
    applyAnswer(claim: Claim, peer: string, answer: ClaimAnswer): void;
    /** Records that a peer that had denied the claim has given the slot up. */
    applyHandover(claim: Claim, peer: string): void;
    /** Records that a stopping peer uses none of these slots any more. */
    applyAbandoned(peer: string, keys: readonly string[]): void;
    /** Settles the claims that time alone decides. */
    confirmClaims(): void;
    setUse(record: SlotRecord, use: SlotUse): void;
    /** Adds a borrowed slot; undefined if the slot is used or promised to a claimant. */
    addLoan(server: BackendServer, index: number, loan: Loan, sentAt: number): SlotRecord | undefined;
    removeLoan(record: SlotRecord): void;
    /** Gives up all slots and owns none from now on. Returns the keys that are free and that no peer has claimed. */
    abandon(): string[];
}

export const slotKey = (serverId: string, index: number) => `${serverId}/${index}`;

/** Time for which a stopped peer's hand-over is remembered, until its status has spread. */
const handoverTtlMs = 60_000;

export function createSlotTable(options: SlotTableOptions): SlotTable {
    const { view, clock, cfg, run } = options;
    const table = new Map<string, SlotRecord>();
    const byServer = new Map<string, SlotRecord[]>();
    const held = new Map<string, number>();
    /** Slots given up, with the first claim that was told so. */
    const released = new Map<string, { claimId?: string; at: number }>();
    const denied = new Map<string, { peer: string; claim: Claim }[]>();
    /** When a claim to a slot was last answered with other than a denial. */
    const promisedAt = new Map<string, number>();
    const abandonedBy = new Map<string, { keys: Set<string>; at: number; session: number }>();
    let claimCounter = 0;
    let lastInputs = "";
    let lastIds: string[] = [];
    /** A peer has answered or asked. Rows of members alone may be left over from entries that died long ago. */
    let hasHadContact = false;
    let wasIsolated = false;
    let isAbandoned = false;
    let session = view.self().session;
    let unsettled = 0;

    const isIsolated = () => {
        const self = view.self().id;
        const reachable = view.members().some(m => m.id !== self && m.status !== MemberStatus.Dead);
        return hasHadContact && !reachable;
    };

    const counts = (record: SlotRecord) =>
        record.use !== SlotUse.Lent && ((record.isOwn && record.isConfirmed) || record.loan !== undefined);

    /** Changes a record and keeps the count of held slots. */
    const update = (record: SlotRecord, change: () => void) => {
        const before = counts(record);
        change();
        const after = counts(record);
        if (before !== after) {
            held.set(record.service, (held.get(record.service) ?? 0) + (after ? 1 : -1));
        }
    };

    const add = (server: BackendServer, index: number): SlotRecord => {
        const record: SlotRecord = {
            key: slotKey(server.id, index),
            serverId: server.id,
            service: server.service,
            index,
            use: SlotUse.Free,
            freeSince: clock.now(),
            isOwn: false,
            isConfirmed: false,
            wasConfirmed: false,
            mayHandOver: false,
            claimedAt: 0,
            claimId: "",
            answers: new Map(),
            isGranted: false,
            previousOwner: undefined,
        };
        table.set(record.key, record);
        const list = byServer.get(server.id) ?? [];
        list.push(record);
        list.sort((a, b) => a.index - b.index);
        byServer.set(server.id, list);
        return record;
    };

    const drop = (record: SlotRecord) => {
        table.delete(record.key);
        const list = byServer.get(record.serverId)!.filter(other => other !== record);
        if (list.length === 0) {
            byServer.delete(record.serverId);
        } else {
            byServer.set(record.serverId, list);
        }
        denied.delete(record.key);
    };

    /** Whether the former owner has stopped without the slot, and no other entry has claimed the slot since. */
    const isAbandonedByFormerOwner = (record: SlotRecord) => {
        const abandonment = record.previousOwner && abandonedBy.get(record.previousOwner);
        return (
            !!abandonment &&
            abandonment.keys.has(record.key) &&
            (promisedAt.get(record.key) ?? -Infinity) < abandonment.at
        );
    };

    const startClaim = (record: SlotRecord, isRegained: boolean, formerOwner?: string) => {
        update(record, () => {
            record.isOwn = true;
            record.isConfirmed = false;
        });
        record.wasConfirmed = isRegained;
        record.claimedAt = clock.now();
        record.claimId = `${run}:${++claimCounter}`;
        record.answers.clear();
        record.previousOwner = formerOwner;
        record.isGranted = isAbandonedByFormerOwner(record);
        released.delete(record.key);
        unsettled++;
    };

    /** Forgets a slot that this entry neither owns nor uses, and tells a claimant that was denied. */
    const giveUp = (record: SlotRecord) => {
        const claims = (denied.get(record.key) ?? []).slice(-1);
        drop(record);
        if (!record.mayHandOver) {
            return;
        }
        released.set(record.key, { claimId: claims[0]?.claim.claimId, at: clock.now() });
        if (claims.length > 0) {
            promisedAt.set(record.key, clock.now());
        }
        options.onReleased(claims);
    };

    const lose = (record: SlotRecord) => {
        record.mayHandOver = record.isConfirmed;
        update(record, () => {
            record.isOwn = false;
            record.isConfirmed = false;
        });
        if (record.use === SlotUse.Free && !record.loan) {
            giveUp(record);
        }
    };

    const claimPeers = () => {
        const self = view.self();
        return view
            .members()
            .filter(m => m.id !== self.id && m.region === self.region && m.status !== MemberStatus.Dead)
            .filter(m => !abandonedBy.has(m.id))
            .map(m => m.id);
    };

    const distrust = () => {
        released.clear();
        for (const record of table.values()) {
            if (record.isOwn) {
                startClaim(record, record.isConfirmed || record.wasConfirmed);
            }
        }
    };

    const recalculate = () => {
        const self = view.self();
        const ids = view.liveInRegion(self.region).map(m => m.id);
        const servers = options.servers();
        const inputs = `${isAbandoned}|${ids.join()}|${servers.map(s => `${s.id}*${s.slots}`).join()}`;
        if (inputs === lastInputs) {
            return;
        }
        lastInputs = inputs;
        const formerIds = lastIds;
        lastIds = ids;
        const owned = new Set<string>();
        for (const server of isAbandoned ? [] : servers) {
            for (let index = 0; index < server.slots; index++) {
                const key = slotKey(server.id, index);
                if (pickOwner(key, ids) !== self.id) {
                    continue;
                }
                owned.add(key);
                const record = table.get(key) ?? add(server, index);
                if (!record.isOwn) {
                    startClaim(record, false, pickOwner(key, formerIds));
                }
            }
        }
        for (const record of [...table.values()]) {
            if (record.isOwn && !owned.has(record.key)) {
                lose(record);
            }
        }
    };

    const isAnswered = (record: SlotRecord, peers: readonly string[], now: number) => {
        const answers = peers.map(peer => record.answers.get(peer));
        if (answers.includes(ClaimAnswer.Denied)) {
            return false;
        }
        // A peer that others reach but this entry does not must not hold the slot up for ever.
        return !answers.includes(undefined) || now - record.claimedAt >= 3 * cfg.takeoverDelayMs;
    };

    const trySettle = (record: SlotRecord, peers: readonly string[], now: number, isolated: boolean) => {
        if (!record.isOwn || record.isConfirmed || !isAnswered(record, peers, now)) {
            return;
        }
        const hasExchanged = record.wasConfirmed && peers.length > 0 && record.answers.size > 0;
        const hasWaited = now - record.claimedAt >= cfg.takeoverDelayMs && (!isolated || record.wasConfirmed);
        if (!record.isGranted && !hasExchanged && !hasWaited) {
            return;
        }
        update(record, () => {
            record.isConfirmed = true;
        });
        record.wasConfirmed = false;
        if (record.use === SlotUse.Free) {
            record.freeSince = now;
            options.onFree(record);
        }
    };

    const settleClaims = () => {
        if (unsettled === 0) {
            return;
        }
        const peers = claimPeers();
        const now = clock.now();
        const isolated = isIsolated();
        for (const record of [...table.values()]) {
            trySettle(record, peers, now, isolated);
        }
        unsettled = [...table.values()].filter(record => record.isOwn && !record.isConfirmed).length;
    };

    const forgetOld = () => {
        const before = clock.now() - handoverTtlMs;
        for (const [peer, { at, session: known }] of abandonedBy) {
            const hasRestarted = (view.find(peer)?.session ?? known) > known;
            if (at < before || hasRestarted) {
                abandonedBy.delete(peer);
            }
        }
        for (const [key, { at }] of released) {
            if (at < before) {
                released.delete(key);
            }
        }
        for (const [key, at] of promisedAt) {
            if (at < before) {
                promisedAt.delete(key);
            }
        }
    };

    const isUsable = (record: SlotRecord, now: number) =>
        record.use === SlotUse.Free &&
        ((record.isOwn && record.isConfirmed) || (record.loan !== undefined && record.loan.expiresAt > now));

    const applyAnswer = (claim: Claim, peer: string, answer: ClaimAnswer) => {
        hasHadContact = true;
        const record = table.get(claim.key);
        if (!record?.isOwn || record.isConfirmed || record.claimId !== claim.claimId) {
            return;
        }
        record.answers.set(peer, answer);
        record.isGranted ||= answer === ClaimAnswer.Granted;
        trySettle(record, claimPeers(), clock.now(), isIsolated());
    };

    return {
        get: key => table.get(key),
        records: () => table.values(),
        recordsOf: serverId => byServer.get(serverId) ?? [],
        isUsable,
        countHeld: service => held.get(service) ?? 0,
        refresh: () => {
            const isolated = isIsolated();
            const self = view.self();
            forgetOld();
            recalculate();
            // After an isolation, or when the fleet took this entry for dead, peers may use its slots.
            if ((wasIsolated && !isolated) || self.session !== session) {
                distrust();
            }
            wasIsolated = isolated;
            session = self.session;
            settleClaims();
        },
        restartClaims: distrust,
        claimPeers,
        claims: () => {
            if (unsettled === 0) {
                return [];
            }
            return [...table.values()]
                .filter(record => record.isOwn && !record.isConfirmed)
                .map(({ key, claimId }) => ({ key, claimId }));
        },
        answerClaim: (claim, peer) => {
            hasHadContact = true;
            const record = table.get(claim.key);
            if (record) {
                const others = (denied.get(claim.key) ?? []).filter(other => other.peer !== peer);
                denied.set(claim.key, [...others, { peer, claim }]);
                return ClaimAnswer.Denied;
            }
            promisedAt.set(claim.key, clock.now());
            const release = released.get(claim.key);
            if (!release) {
                return ClaimAnswer.Neutral;
            }
            // Only the first claim after the slot was given up gets it at once: a later owner may have used it since.
            release.claimId ??= claim.claimId;
            return release.claimId === claim.claimId ? ClaimAnswer.Granted : ClaimAnswer.Neutral;
        },
        applyAnswer,
        applyHandover: (claim, peer) => applyAnswer(claim, peer, ClaimAnswer.Granted),
        applyAbandoned: (peer, keys) => {
            const known = view.find(peer)?.session ?? 0;
            abandonedBy.set(peer, { keys: new Set(keys), at: clock.now(), session: known });
            for (const record of table.values()) {
                record.isGranted ||= record.isOwn && !record.isConfirmed && isAbandonedByFormerOwner(record);
            }
            settleClaims();
        },
        confirmClaims: settleClaims,
        setUse: (record, use) => {
            update(record, () => {
                record.use = use;
            });
            if (use !== SlotUse.Free) {
                return;
            }
            record.freeSince = clock.now();
            record.lent = undefined;
            if (!record.isOwn && !record.loan) {
                giveUp(record);
            } else {
                options.onFree(record);
            }
        },
        addLoan: (server, index, loan, sentAt) => {
            const key = slotKey(server.id, index);
            const existing = table.get(key);
            if (existing || (promisedAt.get(key) ?? -Infinity) >= sentAt) {
                return undefined;
            }
            const record = add(server, index);
            update(record, () => {
                record.loan = loan;
            });
            return record;
        },
        removeLoan: record => {
            update(record, () => {
                record.loan = undefined;
            });
            if (!record.isOwn) {
                drop(record);
            }
        },
        abandon: () => {
            isAbandoned = true;
            recalculate();
            return [...released].filter(([, { claimId }]) => claimId === undefined).map(([key]) => key);
        },
    };
}
