/** Cost of gossip membership for one entry, measured at several fleet sizes and extrapolated to 420 entries. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { MemberStatus } from "@waxwingdale/core";
import { defaultMembershipLimits } from "@waxwingdale/membership";
import { createByteMeter, startNode } from "./membership-node.js";
import type { ByteCount, ByteMeter, MembershipNode } from "./membership-node.js";

export interface MembershipBenchOptions {
    /** @default [9, 36, 72, 144] */
    sizes?: number[];
    /**
     * Length of each measurement window for bytes and CPU time, in milliseconds.
     * @default 10000
     */
    windowMs?: number;
    /**
     * Number of entries that join simultaneously.
     * @default 22
     */
    zoneSize?: number;
}

/** Figures of one entry. Bytes include HTTP headers and both directions, unless the name says otherwise. */
export interface MembershipRow {
    entries: number;
    /** Whether the row is extrapolated from the measured ones by linear regression. */
    extrapolated: boolean;
    sentBytesPerSecond: number;
    receivedBytesPerSecond: number;
    /** CPU utilization, as a fraction of one core. */
    cpuShare: number;
    /** Heap usage of one entry, including its listener and connections, in bytes. */
    stateBytes: number;
    /** Time until all views converge after all entries started simultaneously, in milliseconds. */
    convergenceMs: number;
    /** Number of gossip intervals until a change has reached every entry. */
    propagationRounds: number;
    /** Time from the end of a process until every other entry considers it dead, in milliseconds. */
    detectionMs: number;
    /** Bytes sent and received by a single joining entry within the window. */
    joinBytes: number;
    /** Mean and maximum over all entries of the bytes per second while all entries of a zone join simultaneously. */
    zoneMeanBytesPerSecond: number;
    zoneMaxBytesPerSecond: number;
    /** Time until every entry sees all entries of the zone, in milliseconds. */
    zoneConvergenceMs: number;
}

const designEntries = 420;
const pollIntervalMs = 20;
const convergenceTimeoutMs = 90_000;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function waitFor(condition: () => boolean): Promise<number> {
    const start = performance.now();
    while (!condition()) {
        if (performance.now() - start > convergenceTimeoutMs) {
            return Number.NaN;
        }
        await sleep(pollIntervalMs);
    }
    return performance.now() - start;
}

function collectGarbage(): void {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
}

function measureHeap(): number {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

function isConverged(nodes: MembershipNode[]): boolean {
    return nodes.every(
        ({ membership }) =>
            membership.members().filter(({ status }) => status === MemberStatus.Live).length === nodes.length,
    );
}

function hasNoPendingRows(nodes: MembershipNode[]): boolean {
    return nodes.every(({ membership }) => (membership.state() as { pendingRows: number }).pendingRows === 0);
}

const sumBytes = ({ sent, received }: ByteCount) => sent + received;

function average(values: number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

async function measureIdleTraffic(nodes: MembershipNode[], meter: ByteMeter, windowMs: number) {
    meter.takeCounts();
    const cpuStart = process.cpuUsage();
    const start = performance.now();
    await sleep(windowMs);
    const ms = performance.now() - start;
    const { user, system } = process.cpuUsage(cpuStart);
    const counts = [...meter.takeCounts().values()];
    return {
        sentBytesPerSecond: (average(counts.map(({ sent }) => sent)) * 1000) / ms,
        receivedBytesPerSecond: (average(counts.map(({ received }) => received)) * 1000) / ms,
        cpuShare: (user + system) / 1000 / ms / nodes.length,
    };
}

async function measurePropagation(nodes: MembershipNode[]): Promise<number> {
    const changed = nodes[0]!;
    changed.membership.setReady(false);
    const ms = await waitFor(() =>
        nodes.every(({ membership }) => membership.find(changed.id)?.ready === false),
    );
    return ms / defaultMembershipLimits.gossipIntervalMs;
}

async function measureDetection(nodes: MembershipNode[]): Promise<number> {
    const stopped = nodes.pop()!;
    await stopped.stop();
    return waitFor(() =>
        nodes.every(({ membership }) => membership.find(stopped.id)?.status === MemberStatus.Dead),
    );
}

async function measureSize(size: number, options: MembershipBenchOptions): Promise<MembershipRow> {
    const windowMs = options.windowMs ?? 10_000;
    const meter = createByteMeter();
    const nodes: MembershipNode[] = [];
    const findSeeds = async () => nodes.map(({ address }) => address);
    const start = async (index: number, incarnation = 1) => {
        const node = await startNode(index, incarnation, meter, findSeeds);
        nodes.push(node);
        return node;
    };

    const heapBefore = measureHeap();
    await Promise.all(Array.from({ length: size }, (_, index) => start(index)));
    const convergenceMs = await waitFor(() => isConverged(nodes));
    await waitFor(() => hasNoPendingRows(nodes));
    const idleTraffic = await measureIdleTraffic(nodes, meter, windowMs);
    const stateBytes = (measureHeap() - heapBefore) / size;
    const propagationRounds = await measurePropagation(nodes);
    const detectionMs = await measureDetection(nodes);

    await waitFor(() => hasNoPendingRows(nodes));
    meter.takeCounts();
    const joined = await start(size - 1, 100);
    await sleep(windowMs);
    const joinBytes = sumBytes(meter.takeCounts().get(joined.id) ?? { sent: 0, received: 0 });

    meter.takeCounts();
    const zone = Array.from({ length: options.zoneSize ?? 22 }, (_, index) => start(size + index));
    await Promise.all(zone);
    const windowEnd = sleep(windowMs);
    const zoneConverged = waitFor(() => isConverged(nodes));
    await windowEnd;
    const zoneRates = [...meter.takeCounts().values()].map(count => (sumBytes(count) * 1000) / windowMs);
    const zoneConvergenceMs = await zoneConverged;

    await Promise.all(nodes.map(node => node.stop()));
    return {
        entries: size,
        extrapolated: false,
        ...idleTraffic,
        stateBytes,
        convergenceMs,
        propagationRounds,
        detectionMs,
        joinBytes,
        zoneMeanBytesPerSecond: average(zoneRates),
        zoneMaxBytesPerSecond: Math.max(...zoneRates),
        zoneConvergenceMs,
    };
}

/** Extrapolates one figure by linear least squares over the measured rows. */
function extrapolateFigure(
    rows: MembershipRow[],
    read: (row: MembershipRow) => number,
    x: (n: number) => number,
): number {
    const meanX = average(rows.map(row => x(row.entries)));
    const meanY = average(rows.map(read));
    const slope =
        average(rows.map(row => (x(row.entries) - meanX) * (read(row) - meanY))) /
        average(rows.map(row => (x(row.entries) - meanX) ** 2));
    return meanY + slope * (x(designEntries) - meanX);
}

/**
 * Extrapolates all figures. Bytes and state grow at most linearly with the number of entries, propagation times
 * logarithmically. A negative slope is noise or a fixed cost of the process that more entries share, so no figure is
 * extrapolated below the measured maximum.
 */
function extrapolate(rows: MembershipRow[]): MembershipRow {
    const extrapolateUp = (read: (row: MembershipRow) => number, x: (n: number) => number) =>
        Math.max(extrapolateFigure(rows, read, x), ...rows.map(read));
    const byEntries = (read: (row: MembershipRow) => number) => extrapolateUp(read, n => n);
    const byLogarithm = (read: (row: MembershipRow) => number) => extrapolateUp(read, Math.log2);
    return {
        entries: designEntries,
        extrapolated: true,
        sentBytesPerSecond: byEntries(row => row.sentBytesPerSecond),
        receivedBytesPerSecond: byEntries(row => row.receivedBytesPerSecond),
        cpuShare: byEntries(row => row.cpuShare),
        stateBytes: byEntries(row => row.stateBytes),
        convergenceMs: byEntries(row => row.convergenceMs),
        propagationRounds: byLogarithm(row => row.propagationRounds),
        detectionMs: byLogarithm(row => row.detectionMs),
        joinBytes: byEntries(row => row.joinBytes),
        zoneMeanBytesPerSecond: byEntries(row => row.zoneMeanBytesPerSecond),
        zoneMaxBytesPerSecond: byEntries(row => row.zoneMaxBytesPerSecond),
        zoneConvergenceMs: byEntries(row => row.zoneConvergenceMs),
    };
}

/** Measures the sizes one after the other, about a minute each, and adds an extrapolated row for 420 entries. */
export async function measureMembership(options: MembershipBenchOptions = {}): Promise<MembershipRow[]> {
    const rows: MembershipRow[] = [];
    for (const size of options.sizes ?? [9, 36, 72, 144]) {
        rows.push(await measureSize(size, options));
    }
    return rows.length < 2 ? rows : [...rows, extrapolate(rows)];
}
