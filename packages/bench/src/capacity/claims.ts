/** Cost of claims at increasing rates: store writes, latency, CPU time and size of the head objects. */
import { randomUUID } from "node:crypto";
import {
    ClaimState,
    MemberStatus,
    createRandom,
    createSilentLogger,
    createSystemClock,
} from "@waxwingdale/core";
import type { ClaimRequest, Clock, Member, MemberView } from "@waxwingdale/core";
import { createClaimService } from "@waxwingdale/claims";
import type { ManagedClaimService } from "@waxwingdale/claims";
import { MemoryObjectStore } from "@waxwingdale/store";

export interface ClaimsMeasurement {
    /** Offered claims per second. */
    offeredPerSecond: number;
    /** Granted claims per second. */
    grantedPerSecond: number;
    refused: number;
    /** Store writes per second: head objects, archives and deletions of archives. */
    writesPerSecond: number;
    /** Time from `begin` until the claim is granted. */
    latencyMs: { median: number; p99: number; max: number };
    /** CPU time per claim with its outcome, including the owner, the attempting entry and the in-memory store. */
    cpuMicrosecondsPerClaim: number;
    /** Mean size of a record in the head objects, in bytes. */
    headBytesPerRecord: number;
    /** Size of the largest head object at the end of the run, in bytes. */
    maxHeadBytes: number;
}

export interface ClaimsMeasurementOptions {
    /** @default [100, 300, 1000, 3000] */
    rates?: readonly number[];
    /**
     * Duration of each run.
     * @default 3
     */
    seconds?: number;
    /** @default 32 */
    shards?: number;
    /** @default 200 */
    maxWritesPerSecond?: number;
    /**
     * Delay of each store call.
     * @default 3
     */
    storeDelayMs?: number;
    /** @default 1 */
    seed?: number;
}

/** Response with a certificate. */
const outcome = {
    status: 201,
    headers: { "content-type": "application/json" },
    body: Buffer.from(JSON.stringify({ certificate: "c".repeat(36), detector: "d".repeat(36) })).toString(
        "base64",
    ),
};
const deadlineMs = 5000;
const settleMs = 1000;
const sendIntervalMs = 5;

/** Measures a single entry that owns all shards and makes all claims, so the figures exclude the network. */
export async function measureClaims(options: ClaimsMeasurementOptions = {}): Promise<ClaimsMeasurement[]> {
    const results: ClaimsMeasurement[] = [];
    for (const rate of options.rates ?? [100, 300, 1000, 3000]) {
        results.push(await measureRate(rate, options));
    }
    return results;
}

async function measureRate(rate: number, options: ClaimsMeasurementOptions): Promise<ClaimsMeasurement> {
    const seconds = options.seconds ?? 3;
    const clock = createSystemClock();
    const store = new MemoryObjectStore(clock, { historyLength: 1 });
    store.faults.delayMs = options.storeDelayMs ?? 3;
    const service = createMeasuredService(clock, store, options);
    // The takeover of the shards is excluded from the measurement.
    await warmUp(service, clock, options.shards ?? 32);
    const writesBefore = store.counters.writes;
    const cpuBefore = process.cpuUsage();
    const startedAt = clock.now();
    const latencies: number[] = [];
    let refused = 0;

    const claim = async () => {
        const req = createRequest(clock);
        const requestedAt = clock.now();
        try {
            const result = await service.begin(req);
            if (result.state === ClaimState.Granted) {
                latencies.push(clock.now() - requestedAt);
                service.finish(req, { kind: "ran", response: outcome });
            }
        } catch {
            refused++;
        }
    };

    let offered = 0;
    while (clock.now() - startedAt < seconds * 1000) {
        const due = Math.floor(((clock.now() - startedAt) * rate) / 1000);
        for (; offered < due; offered++) {
            void claim();
        }
        await clock.sleep(sendIntervalMs);
    }
    await clock.sleep(settleMs);
    const elapsed = (clock.now() - startedAt) / 1000;
    const cpu = process.cpuUsage(cpuBefore);
    const writes = store.counters.writes - writesBefore;
    service.close();
    return {
        offeredPerSecond: offered / seconds,
        grantedPerSecond: latencies.length / seconds,
        refused,
        writesPerSecond: writes / elapsed,
        latencyMs: summarize(latencies),
        cpuMicrosecondsPerClaim: (cpu.user + cpu.system) / Math.max(1, latencies.length),
        ...(await measureHeadSizes(store)),
    };
}

function createMeasuredService(
    clock: Clock,
    store: MemoryObjectStore,
    options: ClaimsMeasurementOptions,
): ManagedClaimService {
    const self: Member = {
        ...{
            id: "entry-1",
            incarnation: 1,
            session: 1,
            status: MemberStatus.Live,
            region: "north",
            zone: "north-1",
        },
        ...{ callerAddress: "127.0.0.1:1", peerAddress: "127.0.0.1:2", ready: true },
    };
    const view: MemberView = {
        self: () => self,
        members: () => [self],
        liveInRegion: () => [self],
        find: id => (id === self.id ? self : undefined),
        onChange: () => () => undefined,
    };
    return createClaimService({
        store,
        view,
        transport: { call: () => Promise.reject(new Error("a single entry has no peers")) },
        rpc: { addMethod: () => undefined },
        storeRegion: () => "north",
        limits: () => ({
            shards: options.shards ?? 32,
            maxWritesPerSecond: options.maxWritesPerSecond ?? 200,
            retentionSeconds: 3600,
            maxOutcomeBytes: 16 * 1024,
        }),
        clock,
        random: createRandom(options.seed ?? 1),
        logger: createSilentLogger(),
    });
}

async function warmUp(service: ManagedClaimService, clock: Clock, shards: number): Promise<void> {
    while (service.state().owned.length < shards) {
        await Promise.all(Array.from({ length: 4 * shards }, () => service.begin(createRequest(clock))));
    }
    await clock.sleep(settleMs);
}

function createRequest(clock: Clock): ClaimRequest {
    return {
        service: "register",
        key: randomUUID(),
        attemptId: randomUUID(),
        requestHash: "0123456789abcdef",
        deadlineAt: clock.now() + deadlineMs,
    };
}

function summarize(latencies: number[]): ClaimsMeasurement["latencyMs"] {
    const sorted = [...latencies].sort((a, b) => a - b);
    const getQuantile = (quantile: number) =>
        sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
    return { median: getQuantile(0.5), p99: getQuantile(0.99), max: getQuantile(1) };
}

async function measureHeadSizes(
    store: MemoryObjectStore,
): Promise<Pick<ClaimsMeasurement, "headBytesPerRecord" | "maxHeadBytes">> {
    store.faults.delayMs = 0;
    let records = 0;
    let recordBytes = 0;
    let largest = 0;
    for (const { key, value } of await store.list("claims/")) {
        const head = value as { records?: unknown[]; epoch?: number };
        if (head.epoch !== undefined && head.records !== undefined && !key.includes("-")) {
            records += head.records.length;
            recordBytes += JSON.stringify(head.records).length;
            largest = Math.max(largest, JSON.stringify(head).length);
        }
    }
    return { headBytesPerRecord: recordBytes / Math.max(1, records), maxHeadBytes: largest };
}
