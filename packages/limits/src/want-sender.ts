/** Sends this entry's wants and claims to peers at a limited rate. */
import type { Clock, MemberView, PeerTransport, Random } from "@waxwingdale/core";
import type { BrokerCounters } from "./broker-counters.js";
import type { LimitsConfig } from "./limits-config.js";
import type { ClaimAnswer, Claim, ServiceWant, WantResponse, WantMessage } from "./messages.js";

export interface WantSenderOptions {
    view: MemberView;
    transport: PeerTransport;
    clock: Clock;
    random: Random;
    cfg: LimitsConfig;
    run: string;
    counters: BrokerCounters;
    buildWants: () => ServiceWant[];
    claims: () => Claim[];
    claimPeers: () => readonly string[];
    onClaimAnswer: (claim: Claim, peer: string, answer: ClaimAnswer) => void;
}

export interface WantSender {
    /** Schedules a message to peers after the waiting requests or the claims have changed. */
    scheduleSend(): void;
    /** Time at which the want with the given sequence number was sent. */
    sentAt(seq: number): number | undefined;
    close(): void;
}

/** Maximum number of wants in flight to a peer, so that calls to an unresponsive peer do not pile up. */
const maxInFlightCalls = 16;
/** Time for which a grant can refer to a want, in milliseconds. */
const sentTimeTtlMs = 10_000;

export function createWantSender(options: WantSenderOptions): WantSender {
    const { view, clock, cfg, counters } = options;
    /** Send times of recent wants by sequence number, oldest first. */
    const sentTimes = new Map<number, number>();
    const inFlightCalls = new Map<string, number>();
    let seq = 0;
    let lastSentAt = -Infinity;
    let isScheduled = false;
    let isClosed = false;
    let lastWasNonEmpty = false;

    const send = async (peer: string, msg: WantMessage) => {
        const address = view.find(peer)?.peerAddress;
        if (address === undefined) {
            return;
        }
        const calls = inFlightCalls.get(peer) ?? 0;
        if (calls >= maxInFlightCalls) {
            return;
        }
        inFlightCalls.set(peer, calls + 1);
        counters.wantsSent++;
        try {
            const { transport } = options;
            const result = await transport.call<WantResponse>(address, "slots.want", msg, cfg.callTimeoutMs);
            for (const { key, answer } of result.answers) {
                const claim = msg.claims.find(other => other.key === key);
                if (claim) {
                    options.onClaimAnswer(claim, peer, answer);
                }
            }
        } catch {
            // The next message contains the complete state again.
        } finally {
            inFlightCalls.set(peer, inFlightCalls.get(peer)! - 1);
        }
    };

    const pickPeers = (needsAll: boolean) => {
        const self = view.self();
        const peers = view
            .liveInRegion(self.region)
            .map(({ id }) => id)
            .filter(id => id !== self.id);
        if (needsAll) {
            return [...new Set([...peers, ...options.claimPeers()])];
        }
        while (peers.length > cfg.wantFanout) {
            peers.splice(Math.floor(options.random() * peers.length), 1);
        }
        return peers;
    };

    const removeOldSentTimes = (now: number) => {
        for (const [old, at] of sentTimes) {
            if (now - at < sentTimeTtlMs) {
                return;
            }
            sentTimes.delete(old);
        }
    };

    const flush = () => {
        isScheduled = false;
        const wants = options.buildWants();
        const claims = options.claims();
        const isEmpty = wants.length === 0 && claims.length === 0;
        if (isClosed || (isEmpty && !lastWasNonEmpty)) {
            return;
        }
        lastWasNonEmpty = !isEmpty;
        const now = clock.now();
        lastSentAt = now;
        removeOldSentTimes(now);
        sentTimes.set(++seq, now);
        const msg = { run: options.run, seq, wants, claims };
        for (const peer of pickPeers(claims.length > 0)) {
            void send(peer, msg);
        }
        if (!isEmpty) {
            scheduleResend(seq);
        }
    };

    const scheduleResend = (afterSeq: number) => {
        clock.setTimer(cfg.wantResendMs, () => {
            if (seq === afterSeq) {
                flush();
            }
        });
    };

    return {
        scheduleSend: () => {
            if (isScheduled || isClosed) {
                return;
            }
            const waitMs = lastSentAt + cfg.wantIntervalMs - clock.now();
            if (waitMs <= 0) {
                flush();
                return;
            }
            isScheduled = true;
            clock.setTimer(waitMs, () => isScheduled && flush());
        },
        sentAt: wantSeq => sentTimes.get(wantSeq),
        close: () => {
            isClosed = true;
        },
    };
}
