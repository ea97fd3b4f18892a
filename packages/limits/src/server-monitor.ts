/** Tracks the availability, the service time and the reported load of a backend server. */
import { SlotResult } from "@waxwingdale/core";
import type { Random } from "@waxwingdale/core";
import type { LimitsConfig } from "./limits-config.js";

/** Smoothing factor of the moving average of the service time. */
const smoothing = 0.05;
/** Number of samples required for the moving average. The first samples are weighted equally. */
const minSamples = 10;

export interface ServerMonitor {
    /** Whether a request may be sent now. False while the server is closed or a probe is running. */
    isOpen(now: number): boolean;
    /** Whether the server has no unresolved failures. Only slots of healthy servers are lent. */
    isHealthy(): boolean;
    /** Time at which the next probe may start. */
    reopensAt(): number;
    /** Records the start of a request. Returns whether it is the probe of a closed server. */
    recordStart(): boolean;
    /** Records the result of a request. Returns whether it closed the server. */
    recordResult(result: SlotResult, now: number, isProbe: boolean): boolean;
    /** Closes the server because a peer reported a failure. */
    close(now: number): void;
    recordServiceTime(ms: number): void;
    recordReport(busySlots: number, now: number): void;
    /** Moving average of the service time; undefined while there are too few samples. */
    serviceMs(): number | undefined;
    /** Busy slots according to the latest load report; 0 if it has expired. */
    reportedBusySlots(now: number): number;
    /** Busy slots beyond the server's limit according to the latest load report; 0 if it has expired. */
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
            // Failures of concurrent requests count as one.
            return;
        }
        const backoffMs = Math.min(cfg.maxBackoffMs, cfg.minBackoffMs * 2 ** Math.min(failures, 10));
        failures++;
        // Jitter keeps the entries of a region from probing at the same time.
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
