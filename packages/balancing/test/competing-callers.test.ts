/** Load patterns of competing workspaces: surges, large and small ones, priorities, bursts, requests that come too late. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    ChoiceKind,
    createAdmissionControl,
    createFairShare,
    createServerLoad,
} from "@waxwingdale/balancing";
import type { BackendState, Balancer, Choice, Placement, Workspace } from "@waxwingdale/balancing";
import { createRandom } from "@waxwingdale/core";
import { createContendedServer, createWorkspace, getShare, sendLoad } from "./competing-fixtures.js";
import type { Sender } from "./competing-fixtures.js";

const createSenders = (count: number, name: string, requestsPerSecond: number, priority = 0): Sender[] =>
    Array.from({ length: count }, (_, i) => ({
        workspace: createWorkspace(`${name}-${i}`, priority),
        requestsPerSecond,
    }));

async function measure(load: Parameters<typeof sendLoad>[0]) {
    const results = await sendLoad(load);
    const all = [...results.values()];
    const ofName = (name: string) =>
        [...results].filter(([key]) => key.startsWith(name)).map(([, result]) => getShare([result]));
    return { all, share: getShare(all), ofName };
}

// Guards against a workspace that takes the capacity of the others. In order of arrival, one of them gets 0.68.
test("surge: one workspace at 7.5 times its usual load hurts only itself", async () => {
    const senders = [...createSenders(19, "usual", 5), ...createSenders(1, "surge", 37.5)];
    const { ofName } = await measure({ senders, slots: 12, workMs: 100 });
    assert.ok(Math.min(...ofName("usual")) >= 0.98, `shares served ${ofName("usual").join()}`);
    assert.ok(ofName("surge")[0]! >= 0.6, "it gets what the others leave");
});

// Guards against small workspaces that are crowded out. In order of arrival, some of them get nothing.
test("large and small: small workspaces are served in full, and large ones share the rest equally", async () => {
    const senders = [...createSenders(40, "small", 1), ...createSenders(4, "large", 30)];
    const { ofName } = await measure({ senders, slots: 10, workMs: 100 });
    assert.ok(Math.min(...ofName("small")) >= 0.98);
    const large = ofName("large");
    assert.ok(Math.max(...large) - Math.min(...large) <= 0.03, `shares served ${large.join()}`);
});

// Guards against strict priority that serves the less urgent nothing, and against a minimum that ignores priority.
for (const [count, requestsPerSecond] of [
    [5, 20],
    [40, 2],
] as const) {
    test(`priority: ${count} less urgent workspaces get at least a quarter of the share of all`, async () => {
        const senders = [
            ...createSenders(5, "urgent", 24),
            ...createSenders(count, "less", requestsPerSecond, 1),
        ];
        const { ofName, share } = await measure({ senders, slots: 10, workMs: 100 });
        assert.ok(Math.min(...ofName("less")) >= share / 4, `shares served ${ofName("less").join()}`);
        assert.ok(Math.min(...ofName("urgent")) >= 0.65, `shares served ${ofName("urgent").join()}`);
    });
}

// Guards against a minimum that none of many instances grants, since each of them sees only a few of the requests.
test("priority: less urgent workspaces with few requests at the instance get their minimum together", async () => {
    const senders = [...createSenders(5, "urgent", 2.4), ...createSenders(40, "less", 0.4, 1)];
    const { all, share } = await measure({ senders, slots: 4, workMs: 400 });
    assert.ok(getShare(all.slice(5)) >= share / 4, `share served ${getShare(all.slice(5))} of ${share}`);
});

// Guards against requests that wait in vain, against rejecting those that would be served, and against late retry times.
test("overload: requests without a chance are rejected at once, and no fewer are served", async () => {
    const senders = createSenders(10, "one", 20);
    const load = { senders, slots: 5, workMs: 100 };
    const [fair, before] = [await measure(load), await measure({ ...load, isFair: false })];
    const refusals = fair.all.flatMap(({ refusals: all }) => all);
    const atOnce = refusals.filter(({ waitedMs }) => waitedMs === 0);
    assert.ok(atOnce.length >= refusals.length / 3, `${atOnce.length} of ${refusals.length} at once`);
    assert.ok(atOnce.every(({ retryAfterMs }) => retryAfterMs > 0 && retryAfterMs <= 1000));
    assert.ok(fair.share >= before.share, `${fair.share} instead of ${before.share}`);
});

const [first, second, urgent] = [createWorkspace("a", 1), createWorkspace("b", 1), createWorkspace("c")];

// Guards against a burst of one workspace that leaves no place in the queue for the others.
test("burst: in a full queue, the last request of the busiest workspace gives way", () => {
    const { admission, createRequest } = createContendedServer(0, [first, second, urgent]);
    const rejected: string[] = [];
    const send = (workspace: Workspace | undefined, name: string) =>
        admission.request(createRequest(workspace), () => rejected.push(name));
    for (let index = 0; index < 200; index++) {
        send(first, `a${index}`);
    }
    send(first, "a200");
    assert.deepEqual(rejected, ["a200"], "the new one ranks last");
    send(urgent, "c");
    assert.deepEqual(rejected, ["a200", "a199"]);
    assert.equal(admission.waiting(), 200);
});

// Guards against a workspace that gets several slots in a row because ranks are taken from before the first of them.
test("slots that become free together go to the workspaces in turn", () => {
    const { admission, state, createRequest } = createContendedServer(0, [first, second]);
    const order: string[] = [];
    for (const workspace of [first, first, first, second, second, second]) {
        admission.request(createRequest(workspace), () => {
            order.push(workspace.name);
            state.running += 1;
        });
    }
    state.slots = 4;
    admission.retryWaiting();
    assert.deepEqual([...order].sort(), ["a", "a", "b", "b"]);
});

test("requests without a workspace rank as a group with the least urgent priority", () => {
    const { admission, state, createRequest } = createContendedServer(0, [first, urgent]);
    const order: string[] = [];
    for (const workspace of [undefined, undefined, first, urgent]) {
        admission.request(createRequest(workspace), () => {
            order.push(workspace?.name ?? "public");
            state.running += 1;
        });
    }
    state.slots = 4;
    admission.retryWaiting();
    assert.deepEqual(order, ["c", "public", "a", "public"]);
});

// Guards against new requests that take a slot before the queue is retried, and against holding back those for other servers.
test("a new request overtakes no waiting one that ranks before it, unless that cannot use the room", () => {
    const { clock, createRequest } = createContendedServer(0, []);
    const servers = ["x", "y"].map(id => ({ record: { id }, load: createServerLoad() }) as BackendState);
    const free = new Set<string>();
    const choose = ({ objectKey }: { objectKey: string }): Choice => {
        const server = servers.find(({ record }) => record.id === objectKey)!;
        return free.has(objectKey)
            ? ({ kind: ChoiceKind.Send, server, expectedMs: 1, workMs: 1 } as Placement)
            : { kind: ChoiceKind.Full, server };
    };
    const admission = createAdmissionControl({
        clock,
        balancer: { choose } as unknown as Balancer,
        workspaces: () => [first, urgent],
    });
    const sent: string[] = [];
    const send = (workspace: Workspace, objectKey: string) =>
        admission.request(createRequest(workspace, { objectKey }), () => {
            sent.push(`${workspace.name}-${objectKey}`);
            free.delete(objectKey);
        });
    send(urgent, "x");
    free.add("x").add("y");
    send(first, "y");
    assert.deepEqual(sent, ["a-y"]);
    send(first, "x");
    assert.deepEqual(sent, ["a-y", "c-x"]);
    assert.equal(admission.waiting(), 1);
});

// Guards against a workspace that claims the capacity of a minute after a minute without requests.
test("an idle workspace collects credit for a few seconds at most, and leaves nothing in memory", () => {
    const fairShare = createFairShare(0, () => 0);
    let now = 0;
    for (; now < 60_000; now += 100) {
        fairShare.recordAdmitted("busy", "files", 100, now);
    }
    const credit = () => {
        let count = 0;
        while (fairShare.usage("idle", "files") < fairShare.usage("busy", "files")) {
            fairShare.recordAdmitted("idle", "files", 100, now);
            count += 1;
        }
        return count;
    };
    assert.ok(credit() <= 41, "no more than was used in 4 s");
    for (let index = 0; index < 3000; index++) {
        now += 100;
        fairShare.recordRejected(`gone-${index}`, now);
    }
    assert.ok(fairShare.size() <= 2000, `${fairShare.size()} groups`);
});

// Guards against a minimum that begins at zero after normal operation at each of many instances with few requests.
test("of workspaces with few requests, a random part has its minimum due at once", () => {
    const fairShare = createFairShare(0, createRandom(1));
    const names = Array.from({ length: 200 }, (_, index) => `w-${index}`);
    names.forEach(name => fairShare.recordAdmitted(name, "files", 100, 0));
    const due = names.filter(name => fairShare.isUnderserved(name)).length;
    assert.ok(due >= 40 && due <= 100, `${due} of 200`);
});
