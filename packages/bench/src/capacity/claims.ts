/** Cost of claims as their rate grows: writes to the store, latency, processor time and size of the head. */
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
    /** Claims per second that were offered. */
    offeredPerSecond: number;
    /** Claims per second that were granted. */
    grantedPerSecond: number;
    refused: number;
    /** Writes per second to the store: heads, archives and deletions of archives. */
    writesPerSecond: number;
    /** Time from `begin` to the grant. */
    latencyMs: { median: number; p99: number; max: number };
    /** Processor time of owner, attempting entry and store in memory together, for one claim with its outcome. */
    cpuMicrosecondsPerClaim: number;
    /** Mean bytes of a record in the heads. */
    headBytesPerRecord: number;
    /** Bytes of the largest head at the end. */
    maxHeadBytes: number;
}

export interface ClaimsMeasurementOptions {
    /** @default [100, 300, 1000, 3000] */
    rates?: readonly number[];
    /**
     * Length of each run.
     * @default 3
     */
    seconds?: number;
    /** @default 32 */
    shards?: number;
    /** @default 200 */
    maxWritesPerSecond?: number;
    /**
     * Delay of the store.
     * @default 3
     */
    storeDelayMs?: number;
    /** @default 1 */
    seed?: number;
}

/** Body of a certificate's answer. */
const outcome = {
    status: 201,
    headers: { "content-type": "application/json" },
    body: Buffer.from(JSON.stringify({ certificate: "c".repeat(36), detector: "d".repeat(36) })).toString(
        "base64",
    ),
};
const deadlineMs = 5000;
const settleMs = 1000;
const tickMs = 5;

/** Measures one entry that owns all shards and makes all claims itself, so that no network is in the figures. */
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
    // The take-over of the shards is not part of the slope.
    await warmUp(service, clock, options.shards ?? 32);
    const writesBefore = store.counters.writes;
    const cpuBefore = process.cpuUsage();
    const startedAt = clock.now();
    const latencies: number[] = [];
    let refused = 0;

    const claim = async () => {
        const req = createRequest(clock);
        const begunAt = clock.now();
        try {
            const result = await service.begin(req);
            if (result.state === ClaimState.Granted) {
                latencies.push(clock.now() - begunAt);
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
        await clock.sleep(tickMs);
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
        ...(await measureHeads(store)),
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
        transport: { call: () => Promise.reject(new Error("the only entry calls no peer")) },
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
    const at = (share: number) => sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
    return { median: at(0.5), p99: at(0.99), max: at(1) };
}

async function measureHeads(
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
