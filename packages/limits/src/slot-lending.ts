/** Lends slots to peers and borrows slots from them by exchanging grants and returns. */
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
    /** Whether this entry can use a borrowed slot of the server. */
    canUseServer: (server: BackendServer) => boolean;
    /** Time at which this entry sent the want with the given sequence number. */
    wantSentAt: (seq: number) => number | undefined;
}

export interface SlotLending {
    /** Whether the slot can be lent for the requests of the want. */
    canLend(record: SlotRecord, want: PeerWant, now: number): boolean;
    lend(record: SlotRecord, want: PeerWant): void;
    /** Returns a borrowed slot. `isServerClosed` reports that the server rejected a request or was unreachable. */
    returnLoan(record: SlotRecord, isServerClosed: boolean): void;
    receiveGrant(msg: GrantMessage): boolean;
    /** Frees the slots that a peer has returned. */
    receiveReturn(grants: readonly string[]): void;
    sendHandover(peer: string, claim: Claim): void;
    /** Notifies all peers in the region that this entry no longer uses the slots. */
    announceAbandoned(keys: string[]): Promise<void>;
    reclaimExpired(): void;
}

export function createSlotLending(options: SlotLendingOptions): SlotLending {
    const { table, view, transport, clock, cfg, counters, run } = options;
    const lentByGrant = new Map<string, SlotRecord>();
    /** Grants that have been received, with the response, so that duplicate messages have no effect. */
    const receivedGrants = new Map<string, { accepted: boolean; until: number }>();
    let grantCounter = 0;

    const findAddress = (peer: string) => view.find(peer)?.peerAddress;

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
     * Retries the call until the peer responds or `until` has passed.
     * @throws PeerUnreachableError if the first attempt did not reach the peer and `throwIfUnreachable` is set
     */
    const callWithRetries = async <Result>(
        peer: string,
        method: string,
        params: unknown,
        until: number,
        throwIfUnreachable: boolean,
    ) => {
        for (let attempt = 0; clock.now() < until; attempt++) {
            const address = findAddress(peer);
            if (address === undefined) {
                return undefined;
            }
            try {
                return await transport.call<Result>(address, method, params, cfg.callTimeoutMs);
            } catch (err) {
                if (throwIfUnreachable && attempt === 0 && err instanceof PeerUnreachableError) {
                    throw err;
                }
                await clock.sleep(cfg.wantResendMs * (0.5 + options.random()));
            }
        }
        return undefined;
    };

    const deliverGrant = async (peer: string, msg: GrantMessage, until: number, onRejected: () => void) => {
        try {
            const response = await callWithRetries<GrantResponse>(peer, "slots.grant", msg, until, true);
            if (response?.accepted === false) {
                onRejected();
            }
        } catch {
            // The first attempt did not reach the peer, so the peer does not have the slot.
            onRejected();
        }
    };

    const sendReturn = async (peer: string, msg: Partial<ReturnMessage>, until: number) => {
        const fullMessage: ReturnMessage = { grants: [], closedServers: [], handovers: [], ...msg };
        await callWithRetries(peer, "slots.return", fullMessage, until, false);
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
        void deliverGrant(want.peer, msg, now + expiresInMs, () => endLending(grantId));
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
        const returnToOwner = () => {
            const restored = table.addLoan(server, record.index, { ...loan, hop }, clock.now());
            if (restored && loan.expiresAt > clock.now()) {
                returnLoan(restored, false);
            }
        };
        void deliverGrant(want.peer, msg, loan.expiresAt, returnToOwner);
    };

    const returnLoan = (record: SlotRecord, isServerClosed: boolean) => {
        const { grantId, owner, expiresAt } = record.loan!;
        table.removeLoan(record);
        counters.returned++;
        const closedServers = isServerClosed ? [record.serverId] : [];
        void sendReturn(owner, { grants: [grantId], closedServers }, expiresAt);
    };

    const acceptGrant = (msg: GrantMessage, now: number) => {
        const server = options.findServer(msg.server);
        const sentAt = options.wantSentAt(msg.wantSeq);
        if (!server || sentAt === undefined || !options.canUseServer(server)) {
            return false;
        }
        // The owner made the grant after the want was sent, so this is no later than the expiry at the owner.
        const expiresAt = sentAt + msg.expiresInMs;
        if (expiresAt <= now) {
            return false;
        }
        const { grantId, hop, owner } = msg;
        const record = table.addLoan(server, msg.index, { grantId, hop, owner, expiresAt }, sentAt);
        if (record) {
            receivedGrants.set(`${grantId}#${hop}`, { accepted: true, until: expiresAt });
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
            const known = receivedGrants.get(id);
            if (known) {
                return known.accepted;
            }
            const accepted = acceptGrant(msg, now);
            if (accepted) {
                counters.borrowed++;
                const record = table.get(slotKey(msg.server, msg.index))!;
                table.setUse(record, SlotUse.Free);
            } else {
                counters.grantsRejected++;
                // Duplicates must get the same response for as long as the owner may resend the grant.
                receivedGrants.set(id, { accepted: false, until: now + msg.expiresInMs });
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
            for (const [id, { until }] of receivedGrants) {
                if (until + cfg.reclaimMarginMs < now) {
                    receivedGrants.delete(id);
                }
            }
        },
    };
}
