/** Interface of the policies under test, and the baseline policies. */
import { classesByImportance } from "@waxwingdale/core";
import type { ManualClock, Random } from "@waxwingdale/core";
import type { SimRequest, SimResult, SimServer, Topology } from "./simulation.js";

export interface SimContext {
    clock: ManualClock;
    random: Random;
    topology: Topology;
    servers: readonly SimServer[];
}

export abstract class Policy {
    constructor(protected readonly ctx: SimContext) {}
    /** Handles a request and calls `onResult` exactly once. */
    abstract submit(req: SimRequest, onResult: (result: SimResult) => void): void;
    /** Called after the set of draining servers changed. */
    onServersChanged(): void {}

    protected usableServers(): SimServer[] {
        return this.ctx.servers.filter(server => !server.draining);
    }

    /** Runs a request on a server and reports its result. */
    protected runOnServer(server: SimServer, req: SimRequest, onResult: (result: SimResult) => void): void {
        const { clock } = this.ctx;
        server.run(req.serviceMs, runMs => {
            const latencyMs = clock.now() - req.at;
            const isInTime = latencyMs <= req.deadlineMs;
            const { requestClass, at } = req;
            onResult({ requestClass, at, latencyMs, waitMs: latencyMs - runMs, isInTime });
        });
    }

    protected reject(req: SimRequest, onResult: (result: SimResult) => void): void {
        onResult({ requestClass: req.requestClass, at: req.at, isInTime: false });
    }
}

/** Each entry distributes its requests over the servers round-robin. */
export class RoundRobinPolicy extends Policy {
    private readonly lastIndexes: number[] = [];

    override submit(req: SimRequest, onResult: (result: SimResult) => void): void {
        const servers = this.usableServers();
        const nextIndex = (this.lastIndexes[req.entry] ?? req.entry) + 1;
        this.lastIndexes[req.entry] = nextIndex;
        this.runOnServer(servers[nextIndex % servers.length]!, req, onResult);
    }
}

/** Each entry selects the server with the fewest outstanding requests of its own. */
export class LeastOutstandingPolicy extends Policy {
    private readonly outstandingByServer = new Map<string, number>();

    override submit(req: SimRequest, onResult: (result: SimResult) => void): void {
        const getKey = (server: SimServer) => `${req.entry}/${server.id}`;
        const getOutstanding = (server: SimServer) => this.outstandingByServer.get(getKey(server)) ?? 0;
        const servers = this.usableServers();
        const minOutstanding = Math.min(...servers.map(getOutstanding));
        const candidates = servers.filter(server => getOutstanding(server) === minOutstanding);
        const server = candidates[Math.floor(this.ctx.random() * candidates.length)]!;
        this.outstandingByServer.set(getKey(server), minOutstanding + 1);
        this.runOnServer(server, req, result => {
            this.outstandingByServer.set(getKey(server), getOutstanding(server) - 1);
            onResult(result);
        });
    }
}

/** Each entry draws two servers and selects the one with the lower load, by its own requests and the reported load. */
export class TwoChoicesPolicy extends Policy {
    private readonly outstandingByServer = new Map<string, number>();

    override submit(req: SimRequest, onResult: (result: SimResult) => void): void {
        const getKey = (server: SimServer) => `${req.entry}/${server.id}`;
        const getOutstanding = (server: SimServer) => this.outstandingByServer.get(getKey(server)) ?? 0;
        const getLoad = (server: SimServer) =>
            Math.max(getOutstanding(server), server.reportedBusy()) + getOutstanding(server) / 10;
        const servers = this.usableServers();
        const draw = () => servers[Math.floor(this.ctx.random() * servers.length)]!;
        const [first, second] = [draw(), draw()];
        const server = getLoad(first) <= getLoad(second) ? first : second;
        this.outstandingByServer.set(getKey(server), getOutstanding(server) + 1);
        this.runOnServer(server, req, result => {
            this.outstandingByServer.set(getKey(server), getOutstanding(server) - 1);
            onResult(result);
        });
    }
}

/**
 * Upper bound: a single queue for the region, in class order, without delays. It knows the state of each server,
 * prefers fast servers and rejects a request once it cannot complete before its deadline.
 */
export class IdealQueuePolicy extends Policy {
    private readonly waiting = classesByImportance.map(
        () => [] as { req: SimRequest; onResult: (result: SimResult) => void }[],
    );

    override submit(req: SimRequest, onResult: (result: SimResult) => void): void {
        this.waiting[classesByImportance.indexOf(req.requestClass)]!.push({ req, onResult });
        this.dispatch();
    }

    private findFreeServer(): SimServer | undefined {
        const free = this.usableServers().filter(server => server.running() < server.slots);
        return free.sort((a, b) => a.slowdown - b.slowdown || a.running() - b.running())[0];
    }

    private dispatch(): void {
        for (let server = this.findFreeServer(); server; server = this.findFreeServer()) {
            const next = this.waiting.find(list => list.length > 0)?.shift();
            if (!next) {
                return;
            }
            const { req, onResult } = next;
            if (this.ctx.clock.now() + req.serviceMs * server.slowdown > req.at + req.deadlineMs) {
                this.reject(req, onResult);
                continue;
            }
            this.runOnServer(server, req, result => {
                this.dispatch();
                onResult(result);
            });
        }
    }
}
