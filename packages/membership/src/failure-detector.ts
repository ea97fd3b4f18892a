/** Probes members. A member that responds neither directly nor through other members becomes suspect. */
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
    /** Exchanges rows with a member, and suspects it on failure. Does not throw. */
    check(member: Member): Promise<void>;
    /** Exchanges rows with a member directly and records the failure. Does not throw. */
    probe(member: Member): Promise<ProbeOutcome>;
    /** Suspects a member after a failed probe, unless this member may itself be isolated. */
    suspect(member: Member, outcome: ProbeOutcome): void;
    /** Probes a member on behalf of a peer that cannot reach it. */
    handleProbe(params: unknown): Promise<ProbeResult>;
}

export interface FailureDetectorOptions {
    view: LocalView;
    table: MemberTable;
    order: PeerOrder;
    exchange: ViewExchange;
    isolationDetector: IsolationDetector;
    pauseDetector: PauseDetector;
    transport: PeerTransport;
    logger: Logger;
    limits: MembershipLimits;
    /** Whether an address that refuses connections counts as unreachable: a network partition may refuse as well. */
    countsRefusals: boolean;
    /** Called with the outcome of the direct probe of each check. */
    onProbed: (outcome: ProbeOutcome) => void;
    /** Called with a member that responds neither directly nor through others. */
    onMissing: (member: Member) => void;
}

export enum ProbeOutcome {
    Alive,
    /** No response. */
    NoResponse,
    /** The connection was refused, or another process uses the address now. */
    ProcessEnded,
}

export function createFailureDetector(options: FailureDetectorOptions): FailureDetector {
    const { view, table, order, exchange, isolationDetector, pauseDetector, transport, logger, limits } =
        options;

    const classifyError = (member: Member, err: unknown): ProbeOutcome => {
        // A JSON-RPC error has a negative code and comes from a member, perhaps of another release. An HTTP status is
        // positive and may come from any program that uses the address now.
        if (err instanceof GossipFormatError || (err instanceof PeerRejectedError && err.code < 0)) {
            logger.warn("gossip-incompatible", { peer: member.id, error: getErrorMessage(err) });
            return ProbeOutcome.Alive;
        }
        logger.debug("gossip-failed", { peer: member.id, error: getErrorMessage(err) });
        // Other codes of PeerUnreachableError, such as EHOSTUNREACH, may also be caused by a network partition.
        return getErrorCode(err) === "ECONNREFUSED" ? ProbeOutcome.ProcessEnded : ProbeOutcome.NoResponse;
    };

    const probeDirectly = async (member: Member): Promise<ProbeOutcome> => {
        try {
            const from = await exchange.exchange(member.peerAddress);
            return from.id === member.id ? ProbeOutcome.Alive : ProbeOutcome.ProcessEnded;
        } catch (err) {
            return classifyError(member, err);
        }
    };

    const probe = async (member: Member): Promise<ProbeOutcome> => {
        const pausesBefore = pauseDetector.pauses();
        const outcome = await probeDirectly(member);
        pauseDetector.check();
        if (outcome === ProbeOutcome.Alive || pauseDetector.pauses() !== pausesBefore) {
            return ProbeOutcome.Alive;
        }
        if (outcome === ProbeOutcome.NoResponse || options.countsRefusals) {
            isolationDetector.recordFailure(member.id);
        }
        return outcome;
    };

    const suspect = (member: Member, outcome: ProbeOutcome) => {
        if (isolationDetector.isTrusted()) {
            const hasEnded = outcome === ProbeOutcome.ProcessEnded;
            view.suspect(member, hasEnded ? limits.refusedSuspicionMs : limits.suspicionMs);
        }
    };

    const probeThrough = async (helper: Member, member: Member): Promise<boolean> => {
        const params: ProbeMessage = { peerAddress: member.peerAddress };
        try {
            const timeoutMs = 2 * limits.callTimeoutMs;
            const result = await transport.call<unknown>(
                helper.peerAddress,
                "gossip.probe",
                params,
                timeoutMs,
            );
            isolationDetector.recordSuccess(helper.id);
            return isObject(result) && result.reachable === true;
        } catch {
            return false;
        }
    };

    const isReachableThroughOthers = async (member: Member) => {
        const helpers = order.sample(limits.indirectProbes, member.id);
        const results = await Promise.all(helpers.map(helper => probeThrough(helper, member)));
        return results.includes(true);
    };

    return {
        check: async member => {
            const pausesBefore = pauseDetector.pauses();
            const outcome = await probe(member);
            options.onProbed(outcome);
            if (outcome === ProbeOutcome.Alive || (await isReachableThroughOthers(member))) {
                return;
            }
            pauseDetector.check();
            if (pauseDetector.pauses() === pausesBefore) {
                options.onMissing(member);
                suspect(member, outcome);
            }
        },
        probe,
        suspect,
        handleProbe: async params => {
            const peerAddress = isObject(params) ? params.peerAddress : undefined;
            // Calls only addresses of known members, because the call contains the fleet key.
            const member = table
                .all()
                .find(row => row.peerAddress === peerAddress && row.status !== MemberStatus.Dead);
            if (member === undefined || member.id === view.self().id) {
                return { reachable: false };
            }
            return { reachable: (await probeDirectly(member)) === ProbeOutcome.Alive };
        },
    };
}
