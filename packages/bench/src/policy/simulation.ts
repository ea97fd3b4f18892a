/** Discrete-event simulation of one region: entries, backend servers, and an identical offered load for each policy. */
import { RequestClass } from "@waxwingdale/core";
import type { ManualClock, Random } from "@waxwingdale/core";

export interface Topology {
    name: string;
    entries: number;
    servers: number;
    slots: number;
    /** One-way delay between availability zones. */
    zoneDelayMs: number;
}

export interface SimRequest {
    at: number;
    entry: number;
    requestClass: RequestClass;
    /** Service time on a server without slowdown. */
    serviceMs: number;
    deadlineMs: number;
}

export interface SimResult {
    requestClass: RequestClass;
    at: number;
    /** `undefined` for a rejected request. */
    latencyMs?: number;
    /** Latency minus the service time. */
    waitMs?: number;
    isInTime: boolean;
}

export const deadlinesMs: Readonly<Record<RequestClass, number>> = {
    [RequestClass.Lookup]: 1000,
    [RequestClass.Write]: 2000,
    [RequestClass.Bulk]: 5000,
};

export const meanServiceMs = 20;
/** Fractions of lookups and writes in the load; the rest is bulk. */
const lookupFraction = 0.8;
const writeFraction = 0.15;

export interface LoadOptions {
    perSecond: number;
    startMs: number;
    durationMs: number;
    entries: number;
    /** Fraction of the traffic that arrives at the first entry. */
    firstEntryShare: number;
}

export const drawExponential = (random: Random, mean: number) => -Math.log(1 - random()) * mean;

/** Generates Poisson arrivals with exponential service times. */
export function createLoad(random: Random, options: LoadOptions): SimRequest[] {
    const requests: SimRequest[] = [];
    const end = options.startMs + options.durationMs;
    const pickEntry = () =>
        random() < options.firstEntryShare ? 0 : 1 + Math.floor(random() * (options.entries - 1));
    let at = options.startMs;
    for (;;) {
        at += drawExponential(random, 1000 / options.perSecond);
        if (at >= end) {
            return requests;
        }
        const draw = random();
        const requestClass =
            draw < lookupFraction
                ? RequestClass.Lookup
                : draw < lookupFraction + writeFraction
                  ? RequestClass.Write
                  : RequestClass.Bulk;
        const serviceMs = drawExponential(random, meanServiceMs);
        requests.push({
            at,
            entry: pickEntry(),
            requestClass,
            serviceMs,
            deadlineMs: deadlinesMs[requestClass],
        });
    }
}

/** Simulated backend server that runs up to `slots` requests concurrently and queues the rest. */
export interface SimServer {
    readonly id: string;
    readonly slots: number;
    /** Service time multiplier. */
    slowdown: number;
    draining: boolean;
    /** Runs a request and calls `onDone` with its service time. */
    run(serviceMs: number, onDone: (runMs: number) => void): void;
    /** Returns the number of running and queued requests. */
    outstanding(): number;
    running(): number;
    /** Returns the number of running requests as of `reportDelayMs` ago. */
    reportedBusy(): number;
    /** Returns the number of requests that arrived while all slots were busy. */
    countOverLimit(): number;
    lastBusyAt(): number;
}

export function createSimServer(
    clock: ManualClock,
    id: string,
    slots: number,
    reportDelayMs: number,
): SimServer {
    const queue: (() => void)[] = [];
    const history: { at: number; busy: number }[] = [{ at: -Infinity, busy: 0 }];
    let running = 0;
    let overLimit = 0;
    let lastBusyAt = -Infinity;
    const setRunning = (value: number) => {
        running = value;
        lastBusyAt = clock.now();
        history.push({ at: clock.now(), busy: value });
    };
    const server: SimServer = {
        id,
        slots,
        slowdown: 1,
        draining: false,
        run: (serviceMs, onDone) => {
            const start = () => {
                setRunning(running + 1);
                const runMs = serviceMs * server.slowdown;
                clock.setTimer(runMs, () => {
                    setRunning(running - 1);
                    queue.shift()?.();
                    onDone(runMs);
                });
            };
            if (running < slots) {
                start();
            } else {
                overLimit++;
                queue.push(start);
            }
        },
        outstanding: () => running + queue.length,
        running: () => running,
        reportedBusy: () => {
            const reportedAt = clock.now() - reportDelayMs;
            while (history.length > 1 && history[1]!.at <= reportedAt) {
                history.shift();
            }
            return history[0]!.at <= reportedAt ? history[0]!.busy : 0;
        },
        countOverLimit: () => overLimit,
        lastBusyAt: () => lastBusyAt,
    };
    return server;
}
