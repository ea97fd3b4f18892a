/** Keeps track of the slots that an entry owns, claims or borrows, and of how they are used. */
import { MemberStatus, pickOwner } from "@waxwingdale/core";
import type { BackendServer, Clock, MemberView } from "@waxwingdale/core";
import type { LimitsConfig } from "./limits-config.js";
import { ClaimAnswer } from "./messages.js";
import type { Claim } from "./messages.js";

export enum SlotUse {
    Free = "free",
    /** A request of this entry is running on the slot, or may still be running. */
    Running = "running",
    /** The slot is lent to a peer. */
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
    /** Time at which the slot last became free. */
    freeSince: number;
    /** Whether this entry is the owner according to its own view. */
    isOwn: boolean;
    /** Whether the claim is confirmed, which means that no other entry uses the slot. */
    isConfirmed: boolean;
    /** Whether the entry was the confirmed owner before it lost contact or was paused. */
    wasConfirmed: boolean;
    /** Whether the entry was the confirmed owner until its view changed, so it may hand the slot over. */
    mayHandOver: boolean;
    claimedAt: number;
    claimId: string;
    answers: Map<string, ClaimAnswer>;
    /** Whether the previous owner has released the slot. */
    isGranted: boolean;
    /** Owner before this entry, according to its own view. */
    previousOwner: string | undefined;
    loan?: Loan;
    lent?: { grantId: string; borrower: string; expiresAt: number };
}

export interface SlotTableOptions {
    view: MemberView;
    servers: () => readonly BackendServer[];
    clock: Clock;
    cfg: LimitsConfig;
    /** Changes with each start of the entry. */
    run: string;
    /** Called when a slot becomes available to this entry. */
    onFree: (record: SlotRecord) => void;
    /** Called when a slot that this entry no longer owns is no longer in use either. */
    onReleased: (deniedClaims: readonly { peer: string; claim: Claim }[]) => void;
}

export interface SlotTable {
    get(key: string): SlotRecord | undefined;
    records(): Iterable<SlotRecord>;
    /** Records of a server's slots, in the order of their index. */
    recordsOf(serverId: string): readonly SlotRecord[];
    isUsable(record: SlotRecord, now: number): boolean;
    /** Number of a service's slots that are owned or borrowed and not lent. */
    countHeld(service: string): number;
    /** Recalculates ownership if the members or the servers have changed. */
    refresh(): void;
    /** Claims all owned slots again. They are unusable until peers respond or the takeover delay has passed. */
    restartClaims(): void;
    /** Peers that must respond to a claim. */
    claimPeers(): readonly string[];
    claims(): Claim[];
    answerClaim(claim: Claim, peer: string): ClaimAnswer;
    applyAnswer(claim: Claim, peer: string, answer: ClaimAnswer): void;
    /** Records that a peer that denied the claim earlier has released the slot. */
    applyHandover(claim: Claim, peer: string): void;
    /** Records that a stopping peer no longer uses these slots. */
    applyAbandoned(peer: string, keys: readonly string[]): void;
    /** Confirms the claims whose waiting time has passed. */
    confirmClaims(): void;
    setUse(record: SlotRecord, use: SlotUse): void;
    /** Adds a borrowed slot. Returns undefined if the slot is in use or promised to a claimant. */
    addLoan(server: BackendServer, index: number, loan: Loan, sentAt: number): SlotRecord | undefined;
    removeLoan(record: SlotRecord): void;
    /** Releases all slots for good. Returns the keys of those that are free and not claimed by a peer. */
    abandon(): string[];
}

export const slotKey = (serverId: string, index: number) => `${serverId}/${index}`;

/** Time for which the handover of a stopped peer is kept, until its status has propagated. */
const handoverTtlMs = 60_000;

export function createSlotTable(options: SlotTableOptions): SlotTable {
    const { view, clock, cfg, run } = options;
    const table = new Map<string, SlotRecord>();
    const byServer = new Map<string, SlotRecord[]>();
    const heldByService = new Map<string, number>();
    /** Released slots, with the first claim that was granted. */
    const released = new Map<string, { claimId?: string; at: number }>();
    const deniedClaims = new Map<string, { peer: string; claim: Claim }[]>();
    /** Time at which a claim to the slot was last answered with anything but a denial. */
    const promisedAt = new Map<string, number>();
    const abandonedBy = new Map<string, { keys: Set<string>; at: number; session: number }>();
    let claimCounter = 0;
    let lastInputs = "";
    let lastIds: string[] = [];
    /** Whether a peer has ever responded or sent a request. Member records alone may belong to long-dead entries. */
    let hasSeenPeer = false;
    let wasIsolated = false;
    let isAbandoned = false;
    let session = view.self().session;
    let pendingClaimCount = 0;

    const isIsolated = () => {
        const self = view.self().id;
        const reachable = view.members().some(m => m.id !== self && m.status !== MemberStatus.Dead);
        return hasSeenPeer && !reachable;
    };

    const isHeld = (record: SlotRecord) =>
        record.use !== SlotUse.Lent && ((record.isOwn && record.isConfirmed) || record.loan !== undefined);

    /** Changes a record and updates the number of held slots. */
    const updateRecord = (record: SlotRecord, change: () => void) => {
        const before = isHeld(record);
        change();
        const after = isHeld(record);
        if (before !== after) {
            heldByService.set(record.service, (heldByService.get(record.service) ?? 0) + (after ? 1 : -1));
        }
    };

    const addRecord = (server: BackendServer, index: number): SlotRecord => {
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

    const removeRecord = (record: SlotRecord) => {
        table.delete(record.key);
        const list = byServer.get(record.serverId)!.filter(other => other !== record);
        if (list.length === 0) {
            byServer.delete(record.serverId);
        } else {
            byServer.set(record.serverId, list);
        }
        deniedClaims.delete(record.key);
    };

    /** Whether the previous owner abandoned the slot when it stopped, and no other entry has claimed it since. */
    const isAbandonedByPreviousOwner = (record: SlotRecord) => {
        const abandonment = record.previousOwner && abandonedBy.get(record.previousOwner);
        return (
            !!abandonment &&
            abandonment.keys.has(record.key) &&
            (promisedAt.get(record.key) ?? -Infinity) < abandonment.at
        );
    };

    const startClaim = (record: SlotRecord, wasConfirmed: boolean, previousOwner?: string) => {
        updateRecord(record, () => {
            record.isOwn = true;
            record.isConfirmed = false;
        });
        record.wasConfirmed = wasConfirmed;
        record.claimedAt = clock.now();
        record.claimId = `${run}:${++claimCounter}`;
        record.answers.clear();
        record.previousOwner = previousOwner;
        record.isGranted = isAbandonedByPreviousOwner(record);
        released.delete(record.key);
        pendingClaimCount++;
    };

    /** Removes a slot that this entry neither owns nor uses, and notifies the last claimant that was denied. */
    const releaseSlot = (record: SlotRecord) => {
        const claims = (deniedClaims.get(record.key) ?? []).slice(-1);
        removeRecord(record);
        if (!record.mayHandOver) {
            return;
        }
        released.set(record.key, { claimId: claims[0]?.claim.claimId, at: clock.now() });
        if (claims.length > 0) {
            promisedAt.set(record.key, clock.now());
        }
        options.onReleased(claims);
    };

    const loseOwnership = (record: SlotRecord) => {
        record.mayHandOver = record.isConfirmed;
        updateRecord(record, () => {
            record.isOwn = false;
            record.isConfirmed = false;
        });
        if (record.use === SlotUse.Free && !record.loan) {
            releaseSlot(record);
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

    const restartClaims = () => {
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
        const previousIds = lastIds;
        lastIds = ids;
        const owned = new Set<string>();
        for (const server of isAbandoned ? [] : servers) {
            for (let index = 0; index < server.slots; index++) {
                const key = slotKey(server.id, index);
                if (pickOwner(key, ids) !== self.id) {
                    continue;
                }
                owned.add(key);
                const record = table.get(key) ?? addRecord(server, index);
                if (!record.isOwn) {
                    startClaim(record, false, pickOwner(key, previousIds));
                }
            }
        }
        for (const record of [...table.values()]) {
            if (record.isOwn && !owned.has(record.key)) {
                loseOwnership(record);
            }
        }
    };

    const hasRequiredAnswers = (record: SlotRecord, peers: readonly string[], now: number) => {
        const answers = peers.map(peer => record.answers.get(peer));
        if (answers.includes(ClaimAnswer.Denied)) {
            return false;
        }
        // A peer that this entry cannot reach, although others can, must not block the slot forever.
        return !answers.includes(undefined) || now - record.claimedAt >= 3 * cfg.takeoverDelayMs;
    };

    const tryConfirm = (record: SlotRecord, peers: readonly string[], now: number, isolated: boolean) => {
        if (!record.isOwn || record.isConfirmed || !hasRequiredAnswers(record, peers, now)) {
            return;
        }
        const isReconfirmed = record.wasConfirmed && peers.length > 0 && record.answers.size > 0;
        const isDelayOver =
            now - record.claimedAt >= cfg.takeoverDelayMs && (!isolated || record.wasConfirmed);
        if (!record.isGranted && !isReconfirmed && !isDelayOver) {
            return;
        }
        updateRecord(record, () => {
            record.isConfirmed = true;
        });
        record.wasConfirmed = false;
        if (record.use === SlotUse.Free) {
            record.freeSince = now;
            options.onFree(record);
        }
    };

    const confirmClaims = () => {
        if (pendingClaimCount === 0) {
            return;
        }
        const peers = claimPeers();
        const now = clock.now();
        const isolated = isIsolated();
        for (const record of [...table.values()]) {
            tryConfirm(record, peers, now, isolated);
        }
        pendingClaimCount = [...table.values()].filter(record => record.isOwn && !record.isConfirmed).length;
    };

    const removeExpired = () => {
        const cutoff = clock.now() - handoverTtlMs;
        for (const [peer, { at, session: known }] of abandonedBy) {
            const hasRestarted = (view.find(peer)?.session ?? known) > known;
            if (at < cutoff || hasRestarted) {
                abandonedBy.delete(peer);
            }
        }
        for (const [key, { at }] of released) {
            if (at < cutoff) {
                released.delete(key);
            }
        }
        for (const [key, at] of promisedAt) {
            if (at < cutoff) {
                promisedAt.delete(key);
            }
        }
    };

    const isUsable = (record: SlotRecord, now: number) =>
        record.use === SlotUse.Free &&
        ((record.isOwn && record.isConfirmed) || (record.loan !== undefined && record.loan.expiresAt > now));

    const applyAnswer = (claim: Claim, peer: string, answer: ClaimAnswer) => {
        hasSeenPeer = true;
        const record = table.get(claim.key);
        if (!record?.isOwn || record.isConfirmed || record.claimId !== claim.claimId) {
            return;
        }
        record.answers.set(peer, answer);
        record.isGranted ||= answer === ClaimAnswer.Granted;
        tryConfirm(record, claimPeers(), clock.now(), isIsolated());
    };

    return {
        get: key => table.get(key),
        records: () => table.values(),
        recordsOf: serverId => byServer.get(serverId) ?? [],
        isUsable,
        countHeld: service => heldByService.get(service) ?? 0,
        refresh: () => {
            const isolated = isIsolated();
            const self = view.self();
            removeExpired();
            recalculate();
            // After an isolation, or if other members considered this entry dead, peers may be using its slots.
            if ((wasIsolated && !isolated) || self.session !== session) {
                restartClaims();
            }
            wasIsolated = isolated;
            session = self.session;
            confirmClaims();
        },
        restartClaims,
        claimPeers,
        claims: () => {
            if (pendingClaimCount === 0) {
                return [];
            }
            return [...table.values()]
                .filter(record => record.isOwn && !record.isConfirmed)
                .map(({ key, claimId }) => ({ key, claimId }));
        },
        answerClaim: (claim, peer) => {
            hasSeenPeer = true;
            const record = table.get(claim.key);
            if (record) {
                const others = (deniedClaims.get(claim.key) ?? []).filter(other => other.peer !== peer);
                deniedClaims.set(claim.key, [...others, { peer, claim }]);
                return ClaimAnswer.Denied;
            }
            promisedAt.set(claim.key, clock.now());
            const release = released.get(claim.key);
            if (!release) {
                return ClaimAnswer.Neutral;
            }
            // Only the first claim after the release is granted, since a later owner may have used the slot.
            release.claimId ??= claim.claimId;
            return release.claimId === claim.claimId ? ClaimAnswer.Granted : ClaimAnswer.Neutral;
        },
        applyAnswer,
        applyHandover: (claim, peer) => applyAnswer(claim, peer, ClaimAnswer.Granted),
        applyAbandoned: (peer, keys) => {
            const known = view.find(peer)?.session ?? 0;
            abandonedBy.set(peer, { keys: new Set(keys), at: clock.now(), session: known });
            for (const record of table.values()) {
                record.isGranted ||=
                    record.isOwn && !record.isConfirmed && isAbandonedByPreviousOwner(record);
            }
            confirmClaims();
        },
        confirmClaims,
        setUse: (record, use) => {
            updateRecord(record, () => {
                record.use = use;
            });
            if (use !== SlotUse.Free) {
                return;
            }
            record.freeSince = clock.now();
            record.lent = undefined;
            if (!record.isOwn && !record.loan) {
                releaseSlot(record);
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
            const record = addRecord(server, index);
            updateRecord(record, () => {
                record.loan = loan;
            });
            return record;
        },
        removeLoan: record => {
            updateRecord(record, () => {
                record.loan = undefined;
            });
            if (!record.isOwn) {
                removeRecord(record);
            }
        },
        abandon: () => {
            isAbandoned = true;
            recalculate();
            return [...released].filter(([, { claimId }]) => claimId === undefined).map(([key]) => key);
        },
    };
}
