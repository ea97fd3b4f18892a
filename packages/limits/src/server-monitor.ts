/** What an entry has learned about a backend server: whether it takes requests, how fast it is, what it reports. */
import { SlotResult } from "@waxwingdale/core";
import type { Random } from "@waxwingdale/core";
import type { LimitsConfig } from "./limits-config.js";

/** Weight of a new service time in the smoothed one. */
const smoothing = 0.05;
/** Weight of a new service time of a server that has few samples. */
const minSamples = 10;

export interface ServerMonitor {
    /** Whether a request may be sent now; false while closed and while a probe is running. */
    isOpen(now: number): boolean;
    /** Whether the server takes requests without reservation; only then its slots are lent. */
    isHealthy(): boolean;
    /** Time at which the next probe may start. */
    reopensAt(): number;
    /** Returns whether the request is the probe of a closed server. */
    recordStart(): boolean;
    /** Returns whether the result closed the server. */
    recordResult(result: SlotResult, now: number, isProbe: boolean): boolean;
    /** Closes the server on the word of a peer. */
    close(now: number): void;
    recordServiceTime(ms: number): void;
    recordReport(busySlots: number, now: number): void;
    /** Smoothed service time, undefined before the first. */
    serviceMs(): number | undefined;
    /** Busy slots of a fresh report, otherwise 0. */
    reportedBusySlots(now: number): number;
    /** Slots that the server reported busy beyond its limit, 0 without a fresh report. */
    excessBusy(slots: number, now: number): number;
}

export function createServerMonitor(cfg: LimitsConfig, random: Random): ServerMonitor {
    let failures = 0;
    let closedUntil = 0;
    let isProbing = false;
    let smoothed: number | undefined;
    let samples = 0;
    let reported = 0;
    let reportedAt = -Infinity;

    const close = (now: number) => {
        if (now < closedUntil || isProbing) {
            // Refusals of requests that ran together count as one.
            return;
        }
        const backoffMs = Math.min(cfg.maxBackoffMs, cfg.minBackoffMs * 2 ** Math.min(failures, 10));
        failures++;
        // Jitter keeps the entries of a region from probing together.
        closedUntil = now + backoffMs * (0.5 + random());
    };

    const countProbeResult = (result: SlotResult, now: number) => {
        isProbing = false;
        if (result === SlotResult.Completed) {
            failures = 0;
        } else if (result !== SlotResult.Unused) {
            close(now);
        }
        return failures > 0 && result !== SlotResult.Unused;
    };

    return {
        isOpen: now => failures === 0 || (!isProbing && now >= closedUntil),
        isHealthy: () => failures === 0,
        reopensAt: () => closedUntil,
        recordStart: () => {
            isProbing = failures > 0;
            return isProbing;
        },
        recordResult: (result, now, isProbe) => {
            if (isProbe) {
                return countProbeResult(result, now);
            }
            if (result === SlotResult.Refused || result === SlotResult.Unreachable) {
                close(now);
                return true;
            }
            return false;
        },
        close,
        recordServiceTime: ms => {
            samples++;
            const weight = Math.max(smoothing, samples <= minSamples ? 1 / samples : 0);
            smoothed = smoothed === undefined ? ms : smoothed + weight * (ms - smoothed);
        },
        recordReport: (busySlots, now) => {
            reported = busySlots;
            reportedAt = now;
        },
        serviceMs: () => (samples < minSamples ? undefined : smoothed),
        reportedBusySlots: now => (now - reportedAt <= cfg.reportTtlMs ? reported : 0),
        excessBusy: (slots, now) => (now - reportedAt <= cfg.reportTtlMs ? Math.max(0, reported - slots) : 0),
    };
}
