/** Cost of the gossip membership for one entry, measured at several fleet sizes and extended to 420 entries. */
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
     * Time in milliseconds of each window in which bytes and processor time are counted.
     * @default 10000
     */
    windowMs?: number;
    /**
     * Entries that come back at once.
     * @default 22
     */
    zoneSize?: number;
}

/** Figures of one entry. Bytes count HTTP headers and both directions, unless the name says otherwise. */
export interface MembershipRow {
    entries: number;
    /** Whether the row is extended from the measured ones along a straight line. */
    extrapolated: boolean;
    sentBytesPerSecond: number;
    receivedBytesPerSecond: number;
    /** Share of one core. */
    cpuShare: number;
    /** Heap of one entry with its listener and its connections. */
    stateBytes: number;
    /** Time in milliseconds to meet when all start at once. */
    startMs: number;
    /** Gossip intervals until every entry knows one change. */
    spreadRounds: number;
    /** Time in milliseconds from the end of a process until every other entry holds it as dead. */
    detectionMs: number;
    /** Bytes of a single new entry in the window. */
    joinBytes: number;
    /** Bytes per second of the mean and of the busiest entry while a zone comes back at once. */
    zoneMeanBytesPerSecond: number;
    zoneMaxBytesPerSecond: number;
    /** Time in milliseconds until every entry knows the zone. */
    zoneMs: number;
}

const designEntries = 420;
const pollMs = 20;
const settleLimitMs = 90_000;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function waitFor(condition: () => boolean): Promise<number> {
    const start = performance.now();
    while (!condition()) {
        if (performance.now() - start > settleLimitMs) {
            return Number.NaN;
        }
        await sleep(pollMs);
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

function isWhole(nodes: MembershipNode[]): boolean {
    return nodes.every(
        ({ membership }) =>
            membership.members().filter(({ status }) => status === MemberStatus.Live).length === nodes.length,
    );
}

function isQuiet(nodes: MembershipNode[]): boolean {
    return nodes.every(({ membership }) => (membership.state() as { pendingRows: number }).pendingRows === 0);
}

const total = ({ sent, received }: ByteCount) => sent + received;

function average(values: number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

async function measureQuiet(nodes: MembershipNode[], meter: ByteMeter, windowMs: number) {
    meter.take();
    const cpuStart = process.cpuUsage();
    const start = performance.now();
    await sleep(windowMs);
    const ms = performance.now() - start;
    const { user, system } = process.cpuUsage(cpuStart);
    const counts = [...meter.take().values()];
    return {
        sentBytesPerSecond: (average(counts.map(({ sent }) => sent)) * 1000) / ms,
        receivedBytesPerSecond: (average(counts.map(({ received }) => received)) * 1000) / ms,
        cpuShare: (user + system) / 1000 / ms / nodes.length,
    };
}

async function measureSpread(nodes: MembershipNode[]): Promise<number> {
    const changed = nodes[0]!;
    changed.membership.setReady(false);
    const ms = await waitFor(() =>
        nodes.every(({ membership }) => membership.find(changed.id)?.ready === false),
    );
    return ms / defaultMembershipLimits.gossipIntervalMs;
}

async function measureDetection(nodes: MembershipNode[]): Promise<number> {
    const lost = nodes.pop()!;
    await lost.stop();
    return waitFor(() =>
        nodes.every(({ membership }) => membership.find(lost.id)?.status === MemberStatus.Dead),
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
    const startMs = await waitFor(() => isWhole(nodes));
    await waitFor(() => isQuiet(nodes));
    const quiet = await measureQuiet(nodes, meter, windowMs);
    const stateBytes = (measureHeap() - heapBefore) / size;
    const spreadRounds = await measureSpread(nodes);
    const detectionMs = await measureDetection(nodes);

    await waitFor(() => isQuiet(nodes));
    meter.take();
    const joined = await start(size - 1, 100);
    await sleep(windowMs);
    const joinBytes = total(meter.take().get(joined.id) ?? { sent: 0, received: 0 });

    meter.take();
    const zone = Array.from({ length: options.zoneSize ?? 22 }, (_, index) => start(size + index));
    await Promise.all(zone);
    const windowEnd = sleep(windowMs);
    const zoneTime = waitFor(() => isWhole(nodes));
    await windowEnd;
    const zoneRates = [...meter.take().values()].map(count => (total(count) * 1000) / windowMs);
    const zoneMs = await zoneTime;

    await Promise.all(nodes.map(node => node.stop()));
    return {
        entries: size,
        extrapolated: false,
        ...quiet,
        stateBytes,
        startMs,
        spreadRounds,
        detectionMs,
        joinBytes,
        zoneMeanBytesPerSecond: average(zoneRates),
        zoneMaxBytesPerSecond: Math.max(...zoneRates),
        zoneMs,
    };
}

/** Extends one figure along the line of least squares through the measured rows. */
function extend(
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
 * Bytes and state grow with the entries at most; the time of an epidemic grows with their logarithm. A falling line is
 * noise or a fixed cost of the process that more entries share, so no figure is less than the greatest measured one.
 */
function extrapolate(rows: MembershipRow[]): MembershipRow {
    const extendUp = (read: (row: MembershipRow) => number, x: (n: number) => number) =>
        Math.max(extend(rows, read, x), ...rows.map(read));
    const byEntries = (read: (row: MembershipRow) => number) => extendUp(read, n => n);
    const byLogarithm = (read: (row: MembershipRow) => number) => extendUp(read, Math.log2);
    return {
        entries: designEntries,
        extrapolated: true,
        sentBytesPerSecond: byEntries(row => row.sentBytesPerSecond),
        receivedBytesPerSecond: byEntries(row => row.receivedBytesPerSecond),
        cpuShare: byEntries(row => row.cpuShare),
        stateBytes: byEntries(row => row.stateBytes),
        startMs: byEntries(row => row.startMs),
        spreadRounds: byLogarithm(row => row.spreadRounds),
        detectionMs: byLogarithm(row => row.detectionMs),
        joinBytes: byEntries(row => row.joinBytes),
        zoneMeanBytesPerSecond: byEntries(row => row.zoneMeanBytesPerSecond),
        zoneMaxBytesPerSecond: byEntries(row => row.zoneMaxBytesPerSecond),
        zoneMs: byEntries(row => row.zoneMs),
    };
}

/** Measures each size in turn, each for about a minute, and adds the row for 420 entries. */
export async function measureMembership(options: MembershipBenchOptions = {}): Promise<MembershipRow[]> {
    const rows: MembershipRow[] = [];
    for (const size of options.sizes ?? [9, 36, 72, 144]) {
        rows.push(await measureSize(size, options));
    }
    return rows.length < 2 ? rows : [...rows, extrapolate(rows)];
}
