/** Discrete-event model of one region: entries, backend servers, and the same offered load for every policy. */
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
    /** Time that a server of normal speed needs. */
    serviceMs: number;
    deadlineMs: number;
}

export interface SimResult {
    requestClass: RequestClass;
    at: number;
    /** Undefined for a refused request. */
    latencyMs?: number;
    /** Latency less the time on the server. */
    waitMs?: number;
    isInTime: boolean;
}

export const deadlinesMs: Readonly<Record<RequestClass, number>> = {
    [RequestClass.Lookup]: 1000,
    [RequestClass.Write]: 2000,
    [RequestClass.Bulk]: 5000,
};

export const meanServiceMs = 20;
/** Share of look-ups and of writes; the rest is bulk. */
const lookupShare = 0.8;
const writeShare = 0.15;

export interface LoadOptions {
    perSecond: number;
    startMs: number;
    durationMs: number;
    entries: number;
    /** Share of the traffic that arrives at the first entry. */
    firstEntryShare: number;
}

export const drawExponential = (random: Random, mean: number) => -Math.log(1 - random()) * mean;

/** Draws Poisson arrivals with exponential service times. */
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
            draw < lookupShare
                ? RequestClass.Lookup
                : draw < lookupShare + writeShare
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

/** Backend server that runs up to `slots` requests and queues the rest. */
export interface SimServer {
    readonly id: string;
    readonly slots: number;
    /** Time on the server as a multiple of the normal time. */
    slowness: number;
    draining: boolean;
    /** Calls `onDone` with the time that the request was running. */
    run(serviceMs: number, onDone: (runMs: number) => void): void;
    /** Running and queued requests. */
    outstanding(): number;
    running(): number;
    /** Running requests as a report tells that is late by the region's delay. */
    reportedBusy(): number;
    /** Requests that arrived while all slots were taken. */
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
        slowness: 1,
        draining: false,
        run: (serviceMs, onDone) => {
            const start = () => {
                setRunning(running + 1);
                const runMs = serviceMs * server.slowness;
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
            const visibleAt = clock.now() - reportDelayMs;
            while (history.length > 1 && history[1]!.at <= visibleAt) {
                history.shift();
            }
            return history[0]!.at <= visibleAt ? history[0]!.busy : 0;
        },
        countOverLimit: () => overLimit,
        lastBusyAt: () => lastBusyAt,
    };
    return server;
}
