/** Calls one member; when it answers neither directly nor through others, it becomes suspect. */
import { MemberStatus, PeerRejectedError, getErrorCode, getErrorMessage } from "@waxwingdale/core";
import type { Logger, Member, PeerTransport } from "@waxwingdale/core";
import type { IsolationDetector } from "./isolation-detector.js";
import { GossipFormatError, isObject } from "./gossip-message.js";
import type { ProbeMessage, ProbeResult } from "./gossip-message.js";
import type { LocalView } from "./local-view.js";
import type { MemberTable } from "./member-table.js";
import type { MembershipLimits } from "./membership-limits.js";
import type { PauseDetector } from "./pause-detector.js";
import type { PeerOrder } from "./peer-order.js";
import type { ViewExchange } from "./view-exchange.js";

export interface FailureDetector {
    /** Exchanges with a member and judges a failure. Does not throw. */
    check(member: Member): Promise<void>;
    /** Exchanges with a member in place of a peer that cannot reach it. */
    handleProbe(params: unknown): Promise<ProbeResult>;
}

export interface FailureDetectorOptions {
    view: LocalView;
    table: MemberTable;
    order: PeerOrder;
    exchange: ViewExchange;
    contact: IsolationDetector;
    guard: PauseDetector;
    transport: PeerTransport;
    logger: Logger;
    limits: MembershipLimits;
}

enum Verdict {
    Alive,
    /** No answer. */
    Silent,
    /** The host answered that no such process listens, or another process uses the address now. */
    Gone,
}

export function createFailureDetector(options: FailureDetectorOptions): FailureDetector {
    const { view, table, order, exchange, contact, guard, transport, logger, limits } = options;

    const judge = (member: Member, err: unknown): Verdict => {
        // A JSON-RPC error has a negative code and comes from an entry, perhaps of another release. An HTTP status is
        // positive and may come from any program that uses the address now.
        if (err instanceof GossipFormatError || (err instanceof PeerRejectedError && err.code < 0)) {
            logger.warn("gossip-incompatible", { peer: member.id, error: getErrorMessage(err) });
            return Verdict.Alive;
        }
        logger.debug("gossip-failed", { peer: member.id, error: getErrorMessage(err) });
        // Other codes of PeerUnreachableError, such as EHOSTUNREACH, are also what a cut network looks like.
        return getErrorCode(err) === "ECONNREFUSED" ? Verdict.Gone : Verdict.Silent;
    };

    const callDirectly = async (member: Member): Promise<Verdict> => {
        try {
            const from = await exchange.exchange(member.peerAddress);
            return from.id === member.id ? Verdict.Alive : Verdict.Gone;
        } catch (err) {
            return judge(member, err);
        }
    };

    const callThrough = async (helper: Member, member: Member): Promise<boolean> => {
        const params: ProbeMessage = { peerAddress: member.peerAddress };
        try {
            const timeoutMs = 2 * limits.callTimeoutMs;
            const result = await transport.call<unknown>(
                helper.peerAddress,
                "gossip.probe",
                params,
                timeoutMs,
            );
            return isObject(result) && result.reachable === true;
        } catch {
            return false;
        }
    };

    const isReachableThroughOthers = async (member: Member) => {
        const helpers = order.sample(limits.indirectProbes, member.id);
        const results = await Promise.all(helpers.map(helper => callThrough(helper, member)));
        return results.includes(true);
    };

    return {
        check: async member => {
            const pausesBefore = guard.pauses();
            const verdict = await callDirectly(member);
            if (verdict === Verdict.Alive || (await isReachableThroughOthers(member))) {
                return;
            }
            guard.check();
            if (guard.pauses() !== pausesBefore) {
                return;
            }
            if (verdict === Verdict.Silent) {
                contact.recordFailure(member.id);
            }
            if (contact.isTrusted()) {
                const isGone = verdict === Verdict.Gone;
                view.suspect(member, isGone ? limits.refusedSuspicionMs : limits.suspicionMs);
            }
        },
        handleProbe: async params => {
            const peerAddress = isObject(params) ? params.peerAddress : undefined;
            // Only addresses of members are called: the call carries the fleet key.
            const member = table
                .all()
                .find(row => row.peerAddress === peerAddress && row.status !== MemberStatus.Dead);
            if (member === undefined || member.id === view.self().id) {
                return { reachable: false };
            }
            return { reachable: (await callDirectly(member)) === Verdict.Alive };
        },
    };
}
