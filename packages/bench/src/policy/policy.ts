/** What the harness needs of a policy, and the baselines. */
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
    /** Runs the request and reports its result once. */
    abstract submit(req: SimRequest, onResult: (result: SimResult) => void): void;
    /** Called after the set of draining servers has changed. */
    onServersChanged(): void {}

    protected usableServers(): SimServer[] {
        return this.ctx.servers.filter(server => !server.draining);
    }

    /** Runs the request on the server and reports the result. */
    protected runOn(server: SimServer, req: SimRequest, onResult: (result: SimResult) => void): void {
        const { clock } = this.ctx;
        server.run(req.serviceMs, runMs => {
            const latencyMs = clock.now() - req.at;
            const isInTime = latencyMs <= req.deadlineMs;
            const { requestClass, at } = req;
            onResult({ requestClass, at, latencyMs, waitMs: latencyMs - runMs, isInTime });
        });
    }

    protected refuse(req: SimRequest, onResult: (result: SimResult) => void): void {
        onResult({ requestClass: req.requestClass, at: req.at, isInTime: false });
    }
}

/** Each entry sends its requests to the servers in turn. */
export class RoundRobinPolicy extends Policy {
    private readonly next: number[] = [];

    override submit(req: SimRequest, onResult: (result: SimResult) => void): void {
        const servers = this.usableServers();
        const turn = (this.next[req.entry] ?? req.entry) + 1;
        this.next[req.entry] = turn;
        this.runOn(servers[turn % servers.length]!, req, onResult);
    }
}

/** Each entry picks the server on which it has the fewest requests itself. */
export class LeastOutstandingPolicy extends Policy {
    private readonly own = new Map<string, number>();

    override submit(req: SimRequest, onResult: (result: SimResult) => void): void {
        const keyOf = (server: SimServer) => `${req.entry}/${server.id}`;
        const countOn = (server: SimServer) => this.own.get(keyOf(server)) ?? 0;
        const servers = this.usableServers();
        const least = Math.min(...servers.map(countOn));
        const candidates = servers.filter(server => countOn(server) === least);
        const server = candidates[Math.floor(this.ctx.random() * candidates.length)]!;
        this.own.set(keyOf(server), least + 1);
        this.runOn(server, req, result => {
            this.own.set(keyOf(server), countOn(server) - 1);
            onResult(result);
        });
    }
}

/** Each entry draws two servers and picks the one with fewer own requests and the lower reported load. */
export class TwoChoicesPolicy extends Policy {
    private readonly own = new Map<string, number>();

    override submit(req: SimRequest, onResult: (result: SimResult) => void): void {
        const keyOf = (server: SimServer) => `${req.entry}/${server.id}`;
        const countOn = (server: SimServer) => this.own.get(keyOf(server)) ?? 0;
        const loadOf = (server: SimServer) =>
            Math.max(countOn(server), server.reportedBusy()) + countOn(server) / 10;
        const servers = this.usableServers();
        const draw = () => servers[Math.floor(this.ctx.random() * servers.length)]!;
        const [first, second] = [draw(), draw()];
        const server = loadOf(first) <= loadOf(second) ? first : second;
        this.own.set(keyOf(server), countOn(server) + 1);
        this.runOn(server, req, result => {
            this.own.set(keyOf(server), countOn(server) - 1);
            onResult(result);
        });
    }
}

/**
 * One queue for the whole region without any delay, in class order, that sees each server's state, prefers fast
 * servers and refuses a request as soon as it cannot finish in time any more.
 */
export class IdealQueuePolicy extends Policy {
    private readonly waiting = classesByImportance.map(
        () => [] as { req: SimRequest; onResult: (result: SimResult) => void }[],
    );

    override submit(req: SimRequest, onResult: (result: SimResult) => void): void {
        this.waiting[classesByImportance.indexOf(req.requestClass)]!.push({ req, onResult });
        this.dispatch();
    }

    private findFree(): SimServer | undefined {
        const free = this.usableServers().filter(server => server.running() < server.slots);
        return free.sort((a, b) => a.slowness - b.slowness || a.running() - b.running())[0];
    }

    private dispatch(): void {
        for (let server = this.findFree(); server; server = this.findFree()) {
            const next = this.waiting.find(list => list.length > 0)?.shift();
            if (!next) {
                return;
            }
            const { req, onResult } = next;
            if (this.ctx.clock.now() + req.serviceMs * server.slowness > req.at + req.deadlineMs) {
                this.refuse(req, onResult);
                continue;
            }
            this.runOn(server, req, result => {
                this.dispatch();
                onResult(result);
            });
        }
    }
}
