/** Table of the membership measurement. Its windows take minutes, so there is one round whatever `--rounds` says. */
import type { CapacityFigure, CapacityTable } from "./capacity-table.js";
import { measureMembership } from "./membership.js";
import type { MembershipRow } from "./membership.js";

const sizes = [9, 18, 36, 72];

interface Column {
    name: string;
    unit: string;
    read: (row: MembershipRow) => number;
}

const columns: Column[] = [
    {
        name: "quiet",
        unit: "KB/s",
        read: row => (row.sentBytesPerSecond + row.receivedBytesPerSecond) / 1000,
    },
    { name: "processor", unit: "% of a core", read: row => row.cpuShare * 100 },
    { name: "heap", unit: "MB", read: row => row.stateBytes / 1e6 },
    { name: "spread of a change", unit: "rounds", read: row => row.spreadRounds },
    { name: "crash known by all", unit: "s", read: row => row.detectionMs / 1000 },
    { name: "22 join: mean", unit: "KB/s", read: row => row.zoneMeanBytesPerSecond / 1000 },
    { name: "22 join: busiest", unit: "KB/s", read: row => row.zoneMaxBytesPerSecond / 1000 },
    { name: "cold start of all", unit: "s", read: row => row.startMs / 1000 },
];

/** Measures gossip between entries over loopback HTTP; the last row extends the measured ones along a line. */
export async function measureMembershipSizes(): Promise<CapacityTable> {
    const measured = await measureMembership({ sizes });
    const rows = measured.map(row => ({
        size: row.extrapolated ? `${row.entries} (line)` : String(row.entries),
        figures: columns.map(({ name, unit, read }): CapacityFigure => ({
            name,
            unit,
            samples: [read(row)],
        })),
    }));
    return {
        title: "Membership: bytes sent and received by one entry, with HTTP headers",
        sizeName: "entries",
        rows,
    };
}
