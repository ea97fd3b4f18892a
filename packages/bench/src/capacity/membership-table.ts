/** Result table of the membership measurement. It takes minutes, so it runs only one round and ignores `--rounds`. */
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
        name: "idle traffic",
        unit: "KB/s",
        read: row => (row.sentBytesPerSecond + row.receivedBytesPerSecond) / 1000,
    },
    { name: "CPU", unit: "% of a core", read: row => row.cpuShare * 100 },
    { name: "heap", unit: "MB", read: row => row.stateBytes / 1e6 },
    { name: "propagation of a change", unit: "rounds", read: row => row.propagationRounds },
    { name: "crash detection by all", unit: "s", read: row => row.detectionMs / 1000 },
    { name: "22 entries join: mean", unit: "KB/s", read: row => row.zoneMeanBytesPerSecond / 1000 },
    { name: "22 entries join: max", unit: "KB/s", read: row => row.zoneMaxBytesPerSecond / 1000 },
    { name: "convergence after a cold start", unit: "s", read: row => row.convergenceMs / 1000 },
];

/** Measures gossip between entries over loopback HTTP; the last row is extrapolated from the measured ones. */
export async function measureMembershipSizes(): Promise<CapacityTable> {
    const measured = await measureMembership({ sizes });
    const rows = measured.map(row => ({
        size: row.extrapolated ? `${row.entries} (extrapolated)` : String(row.entries),
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
