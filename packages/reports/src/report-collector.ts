/** Collects the reports of all live entries at the entry that plans. One task for each peer, while this entry plans. */
import { MemberStatus, getErrorMessage, rankOwners } from "@waxwingdale/core";
import type { Clock, Logger, Member, MemberView, PeerTransport, RpcRegistry } from "@waxwingdale/core";
import type { CapacityReport, DemandReport } from "@waxwingdale/steering";
import * as v from "valibot";
import { entryReportSchema, reportMethod, reportRequestSchema } from "./entry-report.js";
import type { EntryReport } from "./entry-report.js";

export interface ReportCollectorOptions {
    view: MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    clock: Clock;
    logger: Logger;
    getLocalReport: (capacities: boolean) => EntryReport;
    /** Whether this entry plans at the moment; otherwise it collects nothing. */
    isCollecting: () => boolean;
}

export interface ReportCollector {
    demands(): DemandReport[];
    capacities(): CapacityReport[];
    /** Collects until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

interface TimedReport {
    report: EntryReport;
    receivedAt: number;
}

/** Time in milliseconds between two rounds. */
const intervalMs = 1000;
const callTimeoutMs = 800;
/** Entries of each region that report its capacities. */
const capacityReporters = 2;
/** Age in milliseconds after which the report of an entry that is not live any more is dropped. */
const dropAfterMs = 10_000;

/** Creates the collector and registers the method by which peers ask this entry for its report. */
export function createReportCollector(options: ReportCollectorOptions): ReportCollector {
    const { view, clock, logger } = options;
    const reports = new Map<string, TimedReport>();

    options.rpc.addMethod(reportMethod, params =>
        options.getLocalReport(v.parse(reportRequestSchema, params).capacities),
    );

    /** Two entries of each region give its capacities, so that the loss of one leaves no gap. */
    const findCapacityReporters = (members: readonly Member[]): Set<string> => {
        const regions = [...new Set(members.map(member => member.region))];
        const chosen = regions.flatMap(region => {
            const ids = members.filter(member => member.region === region).map(member => member.id);
            return rankOwners(region, ids).slice(0, capacityReporters);
        });
        return new Set(chosen);
    };

    const ask = async (peer: Member, capacities: boolean) => {
        try {
            const answer = await options.transport.call<unknown>(
                peer.peerAddress,
                reportMethod,
                { capacities },
                callTimeoutMs,
            );
            reports.set(peer.id, { report: v.parse(entryReportSchema, answer), receivedAt: clock.now() });
        } catch (err) {
            logger.debug("report-failed", { peer: peer.id, error: getErrorMessage(err) });
        }
    };

    const collect = async () => {
        const self = view.self().id;
        reports.set(self, { report: options.getLocalReport(true), receivedAt: clock.now() });
        const peers = view.members().filter(({ id, status }) => id !== self && status !== MemberStatus.Dead);
        const reporters = findCapacityReporters(peers);
        await Promise.all(peers.map(peer => ask(peer, reporters.has(peer.id))));
        for (const [id, { receivedAt }] of reports) {
            const isLive = view.find(id) !== undefined && view.find(id)!.status !== MemberStatus.Dead;
            if (!isLive && clock.now() - receivedAt > dropAfterMs) {
                reports.delete(id);
            }
        }
    };

    const getAge = ({ receivedAt }: TimedReport) => clock.now() - receivedAt;

    return {
        demands: () => sumDemands([...reports.values()], getAge),
        capacities: () => pickCapacities([...reports.values()], getAge),
        run: async signal => {
            while (!signal.aborted) {
                if (options.isCollecting()) {
                    await collect();
                } else {
                    reports.clear();
                }
                await clock.sleep(intervalMs, signal);
            }
        },
    };
}

/** The sum is as old as the oldest report in it. */
function sumDemands(reports: TimedReport[], getAge: (report: TimedReport) => number): DemandReport[] {
    const sums = new Map<string, DemandReport>();
    for (const timed of reports) {
        for (const demand of timed.report.demands) {
            const key = `${demand.service}\n${demand.home}`;
            const sum = sums.get(key) ?? {
                ...demand,
                offeredPerSecond: 0,
                requestBytes: 0,
                responseBytes: 0,
                ageMs: 0,
            };
            const offered = sum.offeredPerSecond + demand.offeredPerSecond;
            const weight = offered === 0 ? 0 : demand.offeredPerSecond / offered;
            sum.requestBytes += weight * (demand.requestBytes - sum.requestBytes);
            sum.responseBytes += weight * (demand.responseBytes - sum.responseBytes);
            sum.offeredPerSecond = offered;
            sum.ageMs = Math.max(sum.ageMs, getAge(timed));
            sums.set(key, sum);
        }
    }
    return [...sums.values()];
}

/** All entries of a region see the same servers, so the newest report of a site counts. */
function pickCapacities(reports: TimedReport[], getAge: (report: TimedReport) => number): CapacityReport[] {
    const newest = new Map<string, CapacityReport>();
    for (const timed of reports) {
        for (const capacity of timed.report.capacities) {
            const key = `${capacity.service}\n${capacity.site}`;
            const ageMs = getAge(timed);
            if (ageMs < (newest.get(key)?.ageMs ?? Infinity)) {
                newest.set(key, { ...capacity, ageMs });
            }
        }
    }
    return [...newest.values()];
}
