/** Cost of the reports that the planner collects: size of the reports, and CPU time to aggregate those of a fleet. */
import { createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { BackendServer, Member, RpcHandler } from "@waxwingdale/core";
import { MemberStatus } from "@waxwingdale/core";
import type { Manifest } from "@waxwingdale/manifest";
import { createReportCollector, createReportMeter } from "@waxwingdale/reports";
import type { EntryReport } from "@waxwingdale/reports";
import type { BenchOptions } from "../bench-options.js";
import type { CapacityTable } from "./capacity-table.js";

/** Numbers of entries; the numbers of services and regions are those of the larger deployment. */
const sizes = [9, 36, 105, 420];
const services = 4;
const regions = 7;
const sitesPerRegion = 8;

/** Measures the reports at increasing fleet sizes. */
export async function measureReports({ rounds }: BenchOptions): Promise<CapacityTable> {
    const rows = [];
    for (const entries of sizes) {
        const bytes: number[] = [];
        const roundMs: number[] = [];
        for (let round = 0; round < rounds; round++) {
            const measured = await collectOnce(entries);
            bytes.push(measured.bytes);
            roundMs.push(measured.ms);
        }
        rows.push({
            size: String(entries),
            figures: [
                { name: "collection at the planner", unit: "ms of CPU time", samples: roundMs },
                {
                    name: "traffic at the planner",
                    unit: "KB/s",
                    samples: bytes.map(size => size / 1000),
                },
            ],
        });
    }
    return { title: "Reports to the planner, once per second, without HTTP", sizeName: "entries", rows };
}

async function collectOnce(count: number): Promise<{ bytes: number; ms: number }> {
    const clock = createManualClock(1_000_000);
    const report = createReport();
    const full = JSON.stringify(report);
    const short = JSON.stringify({ ...report, capacities: [] });
    const members = Array.from({ length: count }, (_, i) => createMember(i));
    const stopped = new AbortController();
    let bytes = 0;
    const collector = createReportCollector({
        view: {
            self: () => members[0]!,
            members: () => members,
            liveInRegion: () => members,
            find: id => members.find(member => member.id === id),
            onChange: () => () => undefined,
        },
        transport: {
            call: async <Result>(_peer: string, _method: string, params: unknown) => {
                const text = (params as { capacities: boolean }).capacities ? full : short;
                bytes += Buffer.byteLength(text);
                return JSON.parse(text) as Result;
            },
        },
        rpc: { addMethod: (_name: string, _handler: RpcHandler) => undefined },
        clock,
        logger: createSilentLogger(),
        getLocalReport: () => report,
        isCollecting: () => true,
    });
    const startedAt = process.cpuUsage();
    void collector.run(stopped.signal);
    await clock.advance(1);
    collector.demands();
    collector.capacities();
    const used = process.cpuUsage(startedAt);
    stopped.abort();
    return { bytes, ms: (used.user + used.system) / 1000 };
}

function createMember(index: number): Member {
    const id = `entry-${index}`;
    const addresses = { callerAddress: `127.0.0.1:${index + 1}`, peerAddress: `127.0.0.1:${index + 1001}` };
    const location = { region: `region-${index % regions}`, zone: "a" };
    return {
        id,
        incarnation: 1,
        session: 1,
        status: MemberStatus.Live,
        ready: true,
        ...location,
        ...addresses,
    };
}

/** Creates the report of an entry that receives requests from all regions for all services. */
function createReport(): EntryReport {
    const names = Array.from({ length: services }, (_, i) => `service-${i}`);
    const sites = Array.from({ length: sitesPerRegion }, (_, i) => ({
        name: `site-0-${i}`,
        region: "region-0",
        zone: "a",
    }));
    const manifest = {
        sites,
        services: names.map(name => ({
            name,
            backend: { warmUpSeconds: 60 },
            sites: sites.map(({ name: site }) => ({ site })),
        })),
    } as unknown as Manifest;
    const clock = createManualClock(1_000_000);
    const servers: BackendServer[] = [];
    const meter = createReportMeter({
        entry: "entry-0",
        region: "region-0",
        clock,
        servers: () => servers,
        manifest: () => manifest,
        listAgeMs: () => 500,
    });
    for (const service of names) {
        for (let region = 0; region < regions; region++) {
            meter.recordRequest({
                service,
                home: `region-${region}`,
                requestBytes: 812,
                responseBytes: 5301,
            });
        }
    }
    return meter.report(true);
}
