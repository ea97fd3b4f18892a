/** Converts data of an entry's components to trace events. Does nothing while the recorder is off. */
import { createHmac } from "node:crypto";
import type { RequestRecord } from "@waxwingdale/carrier";
import { ReasonCode } from "@waxwingdale/core";
import type { ClaimService, Clock, Member } from "@waxwingdale/core";
import type { AcceptedManifest } from "@waxwingdale/manifest";
import type { PlanInput, PlanObject } from "@waxwingdale/steering";
import type { TraceRecorder } from "@waxwingdale/trace";

export interface TraceTapOptions {
    recorder: TraceRecorder;
    entry: string;
    clock: Clock;
    /** HMAC key for hashing idempotency keys, so that short ones cannot be guessed from a trace. */
    fleetKey: string;
}

export interface TraceTap {
    recordRequest(record: RequestRecord): void;
    recordPlan(input: PlanInput, plan: PlanObject): void;
    recordAppliedPlan(plan: PlanObject): void;
    recordManifest(accepted: AcceptedManifest): void;
    recordMember(member: Member): void;
    recordDrain(server: string, source: string, draining: boolean): void;
    /** Wraps a claim service to record the key hashes of requests with a claim. */
    instrumentClaims(claims: ClaimService): ClaimService;
}

/** Length of a key hash in hexadecimal digits: 64 bits. */
const keyHashLength = 16;

export function createTraceTap({ recorder, entry, clock, fleetKey }: TraceTapOptions): TraceTap {
    /** Key hashes of requests in flight that have a claim, by request id. */
    const keyHashes = new Map<string, string>();
    recorder.onStart(() => keyHashes.clear());
    const common = () => ({ entry, time: clock.wallTime() });

    const recordKeyHash = (requestId: string, service: string, key: string) => {
        const hash = createHmac("sha256", fleetKey).update(`${service}\n${key}`).digest("hex");
        keyHashes.set(requestId, hash.slice(0, keyHashLength));
    };

    return {
        recordRequest: record => {
            if (!recorder.isRecording()) {
                return;
            }
            recorder.record(toRequestEvent(entry, record, keyHashes.get(record.id)));
            keyHashes.delete(record.id);
        },
        recordPlan: (input, plan) => {
            if (recorder.isRecording()) {
                const { demands, capacities, previous, wallTime, secondsSincePrevious } = input;
                recorder.record({
                    type: "plan",
                    ...common(),
                    input: {
                        demands: [...demands],
                        capacities: [...capacities],
                        deadRegions: [...input.deadRegions],
                        previous: previous as PlanObject | undefined,
                        wallTime,
                        secondsSincePrevious,
                    },
                    plan,
                });
            }
        },
        recordAppliedPlan: ({ epoch, step }) => {
            if (recorder.isRecording()) {
                recorder.record({ type: "applied", ...common(), epoch, step });
            }
        },
        recordManifest: ({ generation, manifest }) => {
            if (recorder.isRecording()) {
                recorder.record({ type: "manifest", ...common(), generation, manifest });
            }
        },
        recordMember: ({ id, region, status, ready }) => {
            if (recorder.isRecording()) {
                recorder.record({ type: "member", ...common(), id, region, status, ready });
            }
        },
        recordDrain: (server, source, draining) => {
            if (recorder.isRecording()) {
                recorder.record({ type: "drain", ...common(), server, source, draining });
            }
        },
        instrumentClaims: claims => ({
            begin: req => {
                if (recorder.isRecording()) {
                    recordKeyHash(req.attemptId, req.service, req.key);
                }
                return claims.begin(req);
            },
            isGrantUsable: req => claims.isGrantUsable(req),
            finish: (req, end) => claims.finish(req, end),
            find: (service, key) => claims.find(service, key),
        }),
    };
}

function toRequestEvent(entry: string, record: RequestRecord, keyHash: string | undefined) {
    return {
        type: "request" as const,
        entry,
        time: Date.parse(record.startedAt),
        id: record.id,
        service: record.service,
        route: record.route,
        requestClass: record.requestClass,
        home: record.home,
        region: record.region,
        regionReason: record.regionReason,
        attempts: record.attempts.map(({ target, region, waitedMs, result }) => ({
            target,
            region,
            waitedMs: roundMs(waitedMs),
            result,
        })),
        outcome: record.outcome,
        reason: record.reason,
        keyHash,
        replayed: record.reason === ReasonCode.Replayed,
        ms: roundMs(record.totalMs),
    };
}

/** Rounds to microseconds: full floating-point numbers would double the size of a line. */
function roundMs(ms: number): number {
    return Math.round(ms * 1000) / 1000;
}
