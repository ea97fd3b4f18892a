/** Collects the reports of all live entries while this entry is the planner. Each round calls all peers in parallel. */
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
    /** Whether this entry is the planner. Other entries collect nothing. */
    isCollecting: () => boolean;
}

export interface ReportCollector {
    demands(): DemandReport[];
    capacities(): CapacityReport[];
    /** Collects reports until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

interface TimedReport {
    report: EntryReport;
    receivedAt: number;
}

/** Milliseconds between two rounds of calls. */
const roundIntervalMs = 1000;
const callTimeoutMs = 800;
/** Number of entries per region that report its capacities, so that the failure of one leaves no gap. */
const reportersPerRegion = 2;
/** Milliseconds until the report of an entry that is dead or unknown is removed. */
const deadEntryReportTtlMs = 10_000;

/** Creates the collector and registers the RPC method that returns this entry's report. */
export function createReportCollector(options: ReportCollectorOptions): ReportCollector {
    const { view, clock, logger } = options;
    const reports = new Map<string, TimedReport>();

    options.rpc.addMethod(reportMethod, params =>
        options.getLocalReport(v.parse(reportRequestSchema, params).capacities),
    );

    /** Selects the entries that report the capacities of their regions. */
    const findCapacityReporters = (members: readonly Member[]): Set<string> => {
        const regions = [...new Set(members.map(member => member.region))];
        const selected = regions.flatMap(region => {
            const ids = members.filter(member => member.region === region).map(member => member.id);
            return rankOwners(region, ids).slice(0, reportersPerRegion);
        });
        return new Set(selected);
    };

    const fetchReport = async (peer: Member, capacities: boolean) => {
        try {
            const response = await options.transport.call<unknown>(
                peer.peerAddress,
                reportMethod,
                { capacities },
                callTimeoutMs,
            );
            reports.set(peer.id, { report: v.parse(entryReportSchema, response), receivedAt: clock.now() });
        } catch (err) {
            logger.debug("report-failed", { peer: peer.id, error: getErrorMessage(err) });
        }
    };

    const collect = async () => {
        const self = view.self().id;
        reports.set(self, { report: options.getLocalReport(true), receivedAt: clock.now() });
        const peers = view.members().filter(({ id, status }) => id !== self && status !== MemberStatus.Dead);
        const reporters = findCapacityReporters(peers);
        await Promise.all(peers.map(peer => fetchReport(peer, reporters.has(peer.id))));
        for (const [id, { receivedAt }] of reports) {
            const isLive = view.find(id) !== undefined && view.find(id)!.status !== MemberStatus.Dead;
            if (!isLive && clock.now() - receivedAt > deadEntryReportTtlMs) {
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
                await clock.sleep(roundIntervalMs, signal);
            }
        },
    };
}

/** Sums the demands over all entries. A sum is as old as its oldest report. */
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

/** Picks the most recent report of each site, since all entries of a region see the same servers. */
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
