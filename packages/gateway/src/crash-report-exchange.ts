/**
 * Shares suspicions of requests that crash servers: from the second crash on, each change goes to all peers at once, since
 * the next repetition may reach any of them. First crashes, and what peers have missed, go with gossip.
 */
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, MemberView, PeerTransport, RpcRegistry } from "@waxwingdale/core";
import { quarantineCrashes, trialCrashes } from "@waxwingdale/relay";
import type { CrashReport, CrashSuspects } from "@waxwingdale/relay";
import * as v from "valibot";
import { crashReportSchema } from "./crash-report-schema.js";
import { createRotation } from "./rotation.js";

export interface CrashReportExchange {
    /** Returns the reports for a gossip exchange, the next ones with each call. */
    getDigest(): unknown;
    /** Applies reports of a peer. Malformed ones are ignored. */
    handleReports(reports: unknown): void;
}

export interface CrashReportExchangeOptions {
    suspects: CrashSuspects;
    members: () => MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    clock: Clock;
    logger: Logger;
    /** Called with the reports of a peer when they are known. */
    onMerged: (reports: readonly CrashReport[]) => void;
}

const reportMethod = "crashes.report";
const reportTimeoutMs = 1000;
/** Time in milliseconds in which changes are collected for one call: a server that crashes loses several requests. */
const collectMs = 10;
/** Reports in one message, which bounds its bytes. */
const maxReports = 8;
/** Of these, reports of first crashes; the others tell an instance that starts which requests to reject. */
const minFirstCrashes = 3;
const reportsSchema = v.pipe(v.array(crashReportSchema), v.maxLength(maxReports));

export function createCrashReportExchange(options: CrashReportExchangeOptions): CrashReportExchange {
    const { suspects, transport, clock, logger } = options;
    /** Changes that have not been sent, by fingerprint. */
    const unsent = new Map<string, CrashReport>();
    const takeFirstCrashes = createRotation<CrashReport>();
    const takeOthers = createRotation<CrashReport>();

    const handleReports = (reports: unknown) => {
        const parsed = v.safeParse(reportsSchema, reports);
        if (!parsed.success) {
            logger.warn("crash-reports-rejected", { error: parsed.issues[0].message });
            return;
        }
        parsed.output.forEach(report => suspects.merge(report));
        options.onMerged(parsed.output);
    };

    const sendTo = async (peerId: string, peerAddress: string, reports: readonly CrashReport[]) => {
        try {
            await transport.call(peerAddress, reportMethod, reports, reportTimeoutMs);
        } catch (err) {
            // The peer hears of it in a gossip exchange.
            logger.debug("crash-reports-failed", { peer: peerId, error: getErrorMessage(err) });
        }
    };

    /** Sends those with the most crashes. Where many servers crash at the same time, the rest is left to gossip. */
    const sendChanges = () => {
        const reports = [...unsent.values()].sort((a, b) => b.crashes - a.crashes).slice(0, maxReports);
        unsent.clear();
        const view = options.members();
        view.members()
            .filter(({ id, status }) => id !== view.self().id && status !== MemberStatus.Dead)
            .forEach(({ id, peerAddress }) => void sendTo(id, peerAddress, reports));
    };

    suspects.onChange(report => {
        if (unsent.size === 0) {
            clock.setTimer(collectMs, sendChanges);
        }
        unsent.set(report.fingerprint, report);
        if (report.crashes >= quarantineCrashes) {
            logger.warn("request-quarantined", { fingerprint: report.fingerprint, crashes: report.crashes });
        }
    });
    options.rpc.addMethod(reportMethod, params => {
        handleReports(params);
        return {};
    });

    return {
        getDigest: () => {
            const reports = suspects.reports();
            const firstCrashes = reports.filter(({ crashes }) => crashes < trialCrashes);
            const others = takeOthers(
                reports.filter(({ crashes }) => crashes >= trialCrashes),
                maxReports - Math.min(minFirstCrashes, firstCrashes.length),
            );
            return [...others, ...takeFirstCrashes(firstCrashes, maxReports - others.length)];
        },
        handleReports,
    };
}
