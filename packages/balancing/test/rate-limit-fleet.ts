/** Simulated instances that send to one rate-limited server, with gossip, lagging views, pauses and cuts. */
import { createCandidateHistory, createServerRateLimit } from "@waxwingdale/balancing";
import type { CandidateHistory, ServerRateLimit } from "@waxwingdale/balancing";
import { createManualClock, createRandom } from "@waxwingdale/core";

export interface FleetOptions {
    instances: number;
    seed: number;
    /** Requests per second that each instance would like to send to the server. */
    demandPerInstance: number;
}

interface Instance {
    id: string;
    rateLimit: ServerRateLimit;
    history: CandidateHistory;
    view: readonly string[];
    isLive: boolean;
    isPaused: boolean;
    /** Instances of different groups do not hear of each other. */
    group: number;
    /** Time from which the instance has passed on a response with the limit. */
    toldAt: number;
}

export interface Arrival {
    at: number;
    instance: string;
    /** Whether the instance had passed on a response with a limit at least half a second before. */
    wasTold: boolean;
}

const stepMs = 10;
const tickMs = 100;
const gossipIntervalMs = 500;
/** Time from sending a request until its response has arrived. */
const responseMs = 60;
const toldAfterMs = 500;
/** Time until an instance that does not respond is declared dead. */
const suspicionMs = 3000;

export function createFleet({ instances: count, seed, demandPerInstance }: FleetOptions) {
    const clock = createManualClock(1000);
    const random = createRandom(seed);
    const instances = new Map<string, Instance>();
    const arrivals: Arrival[] = [];
    const responses: { at: number; instance: Instance; writtenAt: number; limit: number | undefined }[] = [];
    let limit: number | undefined;
    let steps = 0;

    const liveIds = (group: number) =>
        [...instances.values()]
            .filter(other => other.isLive && other.group === group)
            .map(({ id }) => id)
            .sort();

    const add = (id: string, view: readonly string[]) => {
        const instance: Instance = {
            id,
            view,
            isLive: true,
            isPaused: false,
            group: 0,
            toldAt: Infinity,
            history: createCandidateHistory({
                clock,
                areas: () => ["north"],
                countInstances: () => instance.view.length,
                candidates: () => instance.view,
            }),
            rateLimit: createServerRateLimit({
                serverId: "i-1",
                self: id,
                random,
                now: clock.now(),
                recentCandidates: () => instance.history.recent("north"),
                countInstances: () => instance.view.length,
                onChange: () => undefined,
                onUnreadable: () => undefined,
            }),
        };
        instances.set(id, instance);
        return instance;
    };

    const initialIds = Array.from({ length: count }, (_, index) => `g-${index}`).sort();
    initialIds.forEach(id => add(id, initialIds));

    /** Lets each instance see the current members of its group after its own lag, up to `maxLagMs` after `afterMs`. */
    const changeViews = (afterMs: number, maxLagMs: number) => {
        for (const instance of instances.values()) {
            const at = clock.now() + afterMs + random() * maxLagMs;
            pendingViews.push({ at, instance });
        }
    };
    const pendingViews: { at: number; instance: Instance }[] = [];

    const send = (instance: Instance, now: number) => {
        instance.rateLimit.countRequest(now);
        arrivals.push({ at: now, instance: instance.id, wasTold: instance.toldAt + toldAfterMs <= now });
        responses.push({ at: now + responseMs, instance, writtenAt: now, limit });
    };

    const deliver = (now: number) => {
        while (responses.length > 0 && responses[0]!.at <= now) {
            const { instance, writtenAt, limit: named } = responses.shift()!;
            const report = named === undefined ? undefined : { requestsPerSecond: named };
            instance.rateLimit.report(report, writtenAt, now);
            if (named !== undefined) {
                instance.toldAt = Math.min(instance.toldAt, now);
            }
        }
    };

    const gossip = (instance: Instance, now: number) => {
        const peers = [...instances.values()].filter(
            other => other !== instance && other.isLive && !other.isPaused && other.group === instance.group,
        );
        const peer = peers[Math.floor(random() * peers.length)];
        if (peer === undefined) {
            return;
        }
        const own = instance.rateLimit.observation(now);
        const theirs = peer.rateLimit.observation(now);
        if (own !== undefined) {
            peer.rateLimit.merge(own, now);
        }
        if (theirs !== undefined) {
            instance.rateLimit.merge(theirs, now);
        }
    };

    const step = () => {
        clock.jump(stepMs);
        const now = clock.now();
        steps += 1;
        for (const { instance } of pendingViews.filter(({ at }) => at <= now)) {
            instance.view = liveIds(instance.group);
        }
        pendingViews.splice(0, pendingViews.length, ...pendingViews.filter(({ at }) => at > now));
        deliver(now);
        for (const instance of instances.values()) {
            if (!instance.isLive || instance.isPaused) {
                continue;
            }
            if (steps % (tickMs / stepMs) === 0) {
                instance.history.update();
            }
            if (random() < stepMs / gossipIntervalMs) {
                gossip(instance, now);
            }
            const hasRequest = random() < (demandPerInstance * stepMs) / 1000;
            if (hasRequest && instance.rateLimit.hasCapacity(now)) {
                send(instance, now);
            }
        }
    };

    return {
        now: () => clock.now(),
        arrivals,
        instances,
        run: (ms: number) => {
            for (let done = 0; done < ms; done += stepMs) {
                step();
            }
        },
        nameLimit: (value: number | undefined) => {
            limit = value;
        },
        /** Adds an instance that knows all members; the others hear of it within `lagMs`. */
        join: (id: string, lagMs: number) => {
            add(id, [...liveIds(0), id].sort());
            changeViews(0, lagMs);
        },
        kill: (id: string, lagMs: number) => {
            instances.get(id)!.isLive = false;
            changeViews(suspicionMs, lagMs);
        },
        setPaused: (id: string, isPaused: boolean) => {
            instances.get(id)!.isPaused = isPaused;
        },
        /** Moves instances to another group, which takes the others for dead after a while. */
        cut: (ids: readonly string[], lagMs: number) => {
            ids.forEach(id => (instances.get(id)!.group = 1));
            changeViews(suspicionMs, lagMs);
        },
        heal: (lagMs: number) => {
            instances.forEach(instance => (instance.group = 0));
            changeViews(0, lagMs);
        },
        /** Ids of the instances that sent in the last `ms`. */
        recentSenders: (ms: number) => [
            ...new Set(arrivals.filter(({ at }) => at > clock.now() - ms).map(({ instance }) => instance)),
        ],
    };
}

/** Returns the largest number of counted arrivals in a window within the given time. */
export function countMax(arrivals: readonly Arrival[], from: number, to: number, windowMs: number): number {
    const times = arrivals.filter(({ at, wasTold }) => wasTold && at >= from && at < to).map(({ at }) => at);
    let most = 0;
    let first = 0;
    times.forEach((at, index) => {
        while (times[first]! <= at - windowMs) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
}
