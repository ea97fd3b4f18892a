/** Lends slots to peers and borrows slots from them: the calls behind grants and returns. */
import { PeerUnreachableError } from "@waxwingdale/core";
import type { BackendServer, Clock, MemberView, PeerTransport, Random } from "@waxwingdale/core";
import type { BrokerCounters } from "./broker-counters.js";
import type { LimitsConfig } from "./limits-config.js";
import type { Claim, GrantResponse, GrantMessage, ReturnMessage } from "./messages.js";
import { SlotUse, slotKey } from "./slot-table.js";
import type { SlotRecord, SlotTable } from "./slot-table.js";
import type { PeerWant } from "./peer-wants.js";

export interface SlotLendingOptions {
    table: SlotTable;
    view: MemberView;
    transport: PeerTransport;
    clock: Clock;
    random: Random;
    cfg: LimitsConfig;
    run: string;
    counters: BrokerCounters;
    findServer: (id: string) => BackendServer | undefined;
    /** Whether a borrowed slot of the server can be used. */
    canUseServer: (server: BackendServer) => boolean;
    /** When this entry sent its want with the sequence number. */
    wantSentAt: (seq: number) => number | undefined;
}

export interface SlotLending {
    /** Whether the slot can be given to the want's requests. */
    canLend(record: SlotRecord, want: PeerWant, now: number): boolean;
    lend(record: SlotRecord, want: PeerWant): void;
    /** Ends a loan. `isServerClosed` tells the owner that the server refused or did not answer. */
    returnLoan(record: SlotRecord, isServerClosed: boolean): void;
    receiveGrant(msg: GrantMessage): boolean;
    /** Takes returned slots in and gives back their services. */
    receiveReturn(grants: readonly string[]): void;
    sendHandover(peer: string, claim: Claim): void;
    /** Tells all peers of the region that this entry has stopped using the slots. */
    announceAbandoned(keys: string[]): Promise<void>;
    reclaimExpired(): void;
}

export function createSlotLending(options: SlotLendingOptions): SlotLending {
    const { table, view, transport, clock, cfg, counters, run } = options;
    const lentByGrant = new Map<string, SlotRecord>();
    /** Grants that have arrived, with the answer, so that a copy of a message has no effect. */
    const seen = new Map<string, { accepted: boolean; until: number }>();
    let grantCounter = 0;

    const addressOf = (peer: string) => view.find(peer)?.peerAddress;

    const endLending = (grantId: string) => {
        const record = lentByGrant.get(grantId);
        if (!record) {
            return false;
        }
        lentByGrant.delete(grantId);
        table.setUse(record, SlotUse.Free);
        return true;
    };

    /**
     * Calls until the peer has answered or `until` has passed.
     * @throws PeerUnreachableError when no call reached the peer, if `isReturnedUndelivered`
     */
    const callUntil = async <Result>(
        peer: string,
        method: string,
        params: unknown,
        until: number,
        isReturnedUndelivered: boolean,
    ) => {
        for (let attempt = 0; clock.now() < until; attempt++) {
            const address = addressOf(peer);
            if (address === undefined) {
                return undefined;
            }
            try {
                return await transport.call<Result>(address, method, params, cfg.callTimeoutMs);
            } catch (err) {
                if (isReturnedUndelivered && attempt === 0 && err instanceof PeerUnreachableError) {
                    throw err;
                }
                await clock.sleep(cfg.wantResendMs * (0.5 + options.random()));
            }
        }
        return undefined;
    };

    const deliver = async (peer: string, msg: GrantMessage, until: number, takeBack: () => void) => {
        try {
            const answer = await callUntil<GrantResponse>(peer, "slots.grant", msg, until, true);
            if (answer?.accepted === false) {
                takeBack();
            }
        } catch {
            // The first call did not reach the peer, so the peer does not have the slot.
            takeBack();
        }
    };

    const sendReturn = async (peer: string, msg: Partial<ReturnMessage>, until: number) => {
        const full: ReturnMessage = { grants: [], closedServers: [], handovers: [], ...msg };
        await callUntil(peer, "slots.return", full, until, false);
    };

    const lendOwn = (record: SlotRecord, want: PeerWant) => {
        const now = clock.now();
        const expiresInMs = want.needMs + cfg.grantSlackMs;
        const grantId = `${run}:${++grantCounter}`;
        table.setUse(record, SlotUse.Lent);
        record.lent = {
            grantId,
            borrower: want.peer,
            expiresAt: now + expiresInMs + cfg.reclaimMarginMs,
        };
        lentByGrant.set(grantId, record);
        counters.granted++;
        const msg = {
            grantId,
            hop: 0,
            owner: view.self().id,
            server: record.serverId,
            index: record.index,
            wantSeq: want.seq,
            expiresInMs,
        };
        void deliver(want.peer, msg, now + expiresInMs, () => endLending(grantId));
    };

    const passOn = (record: SlotRecord, want: PeerWant) => {
        const loan = record.loan!;
        const server = options.findServer(record.serverId)!;
        const now = clock.now();
        const hop = loan.hop + 1;
        table.removeLoan(record);
        counters.passedOn++;
        const msg = {
            grantId: loan.grantId,
            hop,
            owner: loan.owner,
            server: record.serverId,
            index: record.index,
            wantSeq: want.seq,
            expiresInMs: loan.expiresAt - now,
        };
        const takeBack = () => {
            const again = table.addLoan(server, record.index, { ...loan, hop }, clock.now());
            if (again && loan.expiresAt > clock.now()) {
                returnLoan(again, false);
            }
        };
        void deliver(want.peer, msg, loan.expiresAt, takeBack);
    };

    const returnLoan = (record: SlotRecord, isServerClosed: boolean) => {
        const { grantId, owner, expiresAt } = record.loan!;
        table.removeLoan(record);
        counters.returned++;
        const closedServers = isServerClosed ? [record.serverId] : [];
        void sendReturn(owner, { grants: [grantId], closedServers }, expiresAt);
    };

    const accept = (msg: GrantMessage, now: number) => {
        const server = options.findServer(msg.server);
        const sentAt = options.wantSentAt(msg.wantSeq);
        if (!server || sentAt === undefined || !options.canUseServer(server)) {
            return false;
        }
        // The grant was made after the want was sent, so this is no later than the owner's own expiry.
        const expiresAt = sentAt + msg.expiresInMs;
        if (expiresAt <= now) {
            return false;
        }
        const { grantId, hop, owner } = msg;
        const record = table.addLoan(server, msg.index, { grantId, hop, owner, expiresAt }, sentAt);
        if (record) {
            seen.set(`${grantId}#${hop}`, { accepted: true, until: expiresAt });
        }
        return record !== undefined;
    };

    return {
        canLend: (record, want, now) => {
            if (want.avoid.has(record.serverId) || (want.suspectsOnly && record.index !== 0)) {
                return false;
            }
            if (record.loan) {
                return record.loan.owner !== want.peer && record.loan.expiresAt - now >= want.needMs;
            }
            return true;
        },
        lend: (record, want) => (record.loan ? passOn(record, want) : lendOwn(record, want)),
        returnLoan,
        receiveGrant: msg => {
            const now = clock.now();
            const id = `${msg.grantId}#${msg.hop}`;
            const known = seen.get(id);
            if (known) {
                return known.accepted;
            }
            const accepted = accept(msg, now);
            if (accepted) {
                counters.borrowed++;
                const record = table.get(slotKey(msg.server, msg.index))!;
                table.setUse(record, SlotUse.Free);
            } else {
                counters.grantsRejected++;
                // A later copy must get the same answer for as long as the owner may send it again.
                seen.set(id, { accepted: false, until: now + msg.expiresInMs });
            }
            return accepted;
        },
        receiveReturn: grants => {
            for (const grantId of grants) {
                endLending(grantId);
            }
        },
        sendHandover: (peer, claim) => {
            void sendReturn(peer, { handovers: [claim] }, clock.now() + cfg.takeoverDelayMs);
        },
        announceAbandoned: async keys => {
            const self = view.self();
            const peers = view.liveInRegion(self.region).filter(({ id }) => id !== self.id);
            const until = clock.now() + 2 * cfg.callTimeoutMs;
            await Promise.all(peers.map(({ id }) => sendReturn(id, { abandoned: keys }, until)));
        },
        reclaimExpired: () => {
            const now = clock.now();
            for (const [grantId, record] of lentByGrant) {
                if (record.lent!.expiresAt <= now) {
                    counters.reclaimed++;
                    endLending(grantId);
                }
            }
            for (const [id, { until }] of seen) {
                if (until + cfg.reclaimMarginMs < now) {
                    seen.delete(id);
                }
            }
        },
    };
}
