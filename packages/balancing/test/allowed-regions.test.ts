/** Guards against requests that run in a region which their route or their workspace does not allow. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ChoiceKind, RefusalReason, ServerOutcome, createAdmissionControl } from "@waxwingdale/balancing";
import type { AdmissionDecision, RoutedRequest } from "@waxwingdale/balancing";
import { createInstance, createRoute, createServer, zones } from "./fixtures.js";

/** The instance is in "north", which has much fewer servers than "south": most objects spill over if they may. */
const servers = [
    createServer("i-1", "n-a"),
    createServer("i-2", "n-b"),
    ...["i-3", "i-4", "i-5", "i-6", "i-7"].map(id => createServer(id, "s-a")),
    createServer("i-8", "s-b"),
];
const any: string[] = [];
const cases = [
    { route: any, workspace: any, allowed: ["north", "south"] },
    { route: ["north"], workspace: any, allowed: ["north"] },
    { route: any, workspace: ["south"], allowed: ["south"] },
    { route: ["north", "south"], workspace: ["north"], allowed: ["north"] },
    { route: ["south"], workspace: ["south", "north"], allowed: ["south"] },
    { route: ["north"], workspace: ["south"], allowed: [] },
    { route: any, workspace: ["east"], allowed: [] },
];

function setUp(routeRegions: string[], workspaceRegions: string[]) {
    const instance = createInstance(servers);
    const workspace = {
        name: "w",
        apiKeys: [],
        priority: 0,
        requestsPerSecond: 0,
        burst: 0,
        allowedRegions: workspaceRegions,
    };
    const fields = { route: createRoute({ allowedRegions: routeRegions }), workspace };
    return { ...instance, createRequest: (object: string) => instance.createRequest(object, fields) };
}

const describe = (regions: string[]) => (regions.length === 0 ? "any" : regions.join("+"));

for (const { route, workspace, allowed } of cases) {
    const name = `regions of the route ${describe(route)}, of the workspace ${describe(workspace)}`;

    test(`${name}: placement, spillover, retries and hedges`, () => {
        const { balancer, createRequest } = setUp(route, workspace);
        const used = new Set<string>();
        /** Sends a request to one server after the other, as retries and hedges do. Returns how many it reached. */
        const sendEverywhere = (req: RoutedRequest, isHedged: boolean) => {
            for (let sent = 0; ; sent++) {
                const choice = balancer.choose(req);
                if (choice.kind !== ChoiceKind.Send) {
                    return sent;
                }
                used.add(zones[choice.server.record.zone]!);
                balancer.start(req, choice);
                req.tried.add(choice.server.record.id);
                if (isHedged) {
                    balancer.recordNoResponse(choice);
                }
                balancer.finish(req, choice, { outcome: ServerOutcome.Cancelled });
            }
        };
        for (let object = 0; object < 40; object++) {
            const reached = sendEverywhere(createRequest(String(object)), object % 2 === 0);
            assert.equal(reached > 0, allowed.length > 0);
        }
        assert.deepEqual([...used].sort(), allowed);
    });

    test(`${name}: queued requests, while all servers fill up`, async () => {
        const { clock, balancer, createRequest } = setUp(route, workspace);
        const admission = createAdmissionControl({ clock, balancer });
        const used = new Set<string>();
        const refusals = new Set<string>();
        const onDecision = (req: RoutedRequest) => (decision: AdmissionDecision) => {
            if ("refusal" in decision) {
                refusals.add(decision.refusal.reason);
                return;
            }
            const { placement } = decision;
            used.add(zones[placement.server.record.zone]!);
            balancer.start(req, placement);
            clock.setTimer(60, () => {
                balancer.finish(req, placement, { outcome: ServerOutcome.Success, firstByteMs: 60 });
                admission.retryWaiting();
            });
        };
        for (let object = 0; object < 60; object++) {
            const req = createRequest(String(object));
            admission.request(req, onDecision(req));
        }
        await clock.advance(2000);
        assert.deepEqual([...used].sort(), allowed);
        assert.equal(refusals.has(RefusalReason.NoServer), allowed.length === 0);
    });
}
