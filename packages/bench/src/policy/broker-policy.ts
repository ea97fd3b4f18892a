/** Policy that uses the production slot broker at each entry, connected by a simulated network. */
import {
    MemberStatus,
    PeerTimeoutError,
    SlotResult,
    createRandom,
    createSilentLogger,
} from "@waxwingdale/core";
import type { BackendServer, Member, MemberView, PeerTransport, RpcHandler } from "@waxwingdale/core";
import { createSlotBroker } from "@waxwingdale/limits";
import type { BrokerCounters, LimitsConfig, SlotBroker } from "@waxwingdale/limits";
import { Policy } from "./policy.js";
import type { SimContext } from "./policy.js";
import type { SimRequest, SimResult } from "./simulation.js";

export const simService = "register";
const region = "north";

const createMember = (id: string): Member => ({
    id,
    incarnation: 1,
    session: 1,
    status: MemberStatus.Live,
    region,
    zone: "a",
    callerAddress: id,
    peerAddress: id,
    ready: true,
});

/** Creates the view of a region whose members do not change. */
export function createFixedView(ids: readonly string[], selfId: string): MemberView {
    const members = ids.map(createMember);
    return {
        self: () => members.find(({ id }) => id === selfId)!,
        members: () => members,
        liveInRegion: () => members,
        find: id => members.find(other => other.id === id),
        onChange: () => () => undefined,
    };
}

/** Creates a transport with a one-way delay of `delayMs` for calls and responses. */
export function createDelayedTransport(
    ctx: Pick<SimContext, "clock">,
    delayMs: number,
    from: string,
    getMethods: (id: string) => Map<string, RpcHandler>,
): PeerTransport {
    return {
        call: (to, method, params, timeoutMs) =>
            new Promise((resolve, reject) => {
                const timer = ctx.clock.setTimer(timeoutMs, () => reject(new PeerTimeoutError("timeout")));
                const body = structuredClone(params);
                ctx.clock.setTimer(delayMs, () => {
                    const result = getMethods(to).get(method)!(body, from);
                    ctx.clock.setTimer(delayMs, () => {
                        timer.cancel();
                        resolve(result as never);
                    });
                });
            }),
    };
}

export class BrokerPolicy extends Policy {
    private readonly brokers: SlotBroker[];
    private readonly backends: BackendServer[];

    constructor(ctx: SimContext, cfg: Partial<LimitsConfig> = {}) {
        super(ctx);
        const ids = Array.from({ length: ctx.topology.entries }, (_, index) => `entry-${index}`);
        const methods = new Map(ids.map(id => [id, new Map<string, RpcHandler>()]));
        this.backends = ctx.servers.map(({ id, slots }) => ({
            id,
            service: simService,
            address: id,
            region,
            zone: "a",
            slots,
            draining: false,
        }));
        this.brokers = ids.map((id, index) =>
            createSlotBroker({
                view: createFixedView(ids, id),
                transport: createDelayedTransport(ctx, ctx.topology.zoneDelayMs, id, to => methods.get(to)!),
                rpc: { addMethod: (name, handler) => void methods.get(id)!.set(name, handler) },
                servers: () => this.backends,
                clock: ctx.clock,
                // A separate generator, so that the policy does not affect the random numbers of the load.
                random: createRandom(1000 + index),
                logger: createSilentLogger(),
                cfg,
            }),
        );
    }

    override onServersChanged(): void {
        this.backends.forEach((backend, index) => (backend.draining = this.ctx.servers[index]!.draining));
        this.brokers.forEach(broker => broker.onServersChanged());
    }

    override submit(req: SimRequest, onResult: (result: SimResult) => void): void {
        const slotRequest = {
            service: simService,
            requestClass: req.requestClass,
            deadlineAt: req.at + req.deadlineMs,
            suspect: false,
            avoid: new Set<string>(),
        };
        this.brokers[req.entry]!.acquire(slotRequest).then(
            slot => {
                const server = this.ctx.servers.find(({ id }) => id === slot.server.id)!;
                this.runOnServer(server, req, result => {
                    slot.release(SlotResult.Completed, server.reportedBusy());
                    onResult(result);
                });
            },
            () => this.reject(req, onResult),
        );
    }

    counters(): Readonly<BrokerCounters>[] {
        return this.brokers.map(broker => broker.counters());
    }
}
