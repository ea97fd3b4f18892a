/** Guards against requests that run for the wrong workspace, or whose key reaches a backend server. */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { QuotaVerdict, RequestKind, createRouteIndex } from "@waxwingdale/balancing";
import type { QuotaGate, Workspace } from "@waxwingdale/balancing";
import { RequestOutcome, checkAccess, isKeyValid } from "@waxwingdale/relay";
import {
    createTestRoute,
    formatRequest,
    formatResponse,
    sendRaw,
    startInstance,
    startServer,
    waitUntil,
} from "./fixtures.js";
import type { InstanceOptions } from "./fixtures.js";

function createWorkspace(name: string, apiKeys: readonly string[]): Workspace {
    return { name, apiKeys, priority: 0, requestsPerSecond: 0, burst: 0, allowedRegions: [] };
}

const testLimits = { headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 };
const testRoute = createTestRoute(RequestKind.Idempotent);
const workspaces = [createWorkspace("first", ["k1", "k2"]), createWorkspace("second", ["k3"])];

/** Sends one request with the given headers. Returns the response, what the server got, and the record. */
async function exchange(headers: string, options: InstanceOptions = { workspaces }) {
    const server = await startServer((text, socket) => socket.write(formatResponse(text, "body")));
    const instance = await startInstance([server], options);
    const text = formatRequest(RequestKind.Idempotent, "a1").replace(/\r\n\r\n$/, `\r\n${headers}\r\n`);
    const response = await sendRaw(instance.port, text, 1);
    instance.close();
    server.close();
    return { response, received: server.requests[0], record: instance.records[0] };
}

test("a server gets the name of the workspace that holds the key, whatever the caller names, and never the key", async () => {
    const { response, received } = await exchange("X-Key: k2\r\nX-Workspace: second\r\n");
    assert.match(response, /^HTTP\/1.1 200/);
    assert.deepEqual(received?.match(/x-workspace: .*/gi), ["X-Workspace: first"]);
    assert.doesNotMatch(received ?? "", /k2/);
});

test("a request without a key, or with an unknown one, is not sent", async () => {
    for (const headers of ["", "X-Key: k9\r\n", "X-Workspace: first\r\n"]) {
        const { response, received, record } = await exchange(headers);
        assert.match(response, /^HTTP\/1.1 401/);
        assert.equal(received, undefined);
        assert.equal(record?.outcome, RequestOutcome.Unauthorized);
    }
});

test("an instance that may have missed the withdrawal of a key rejects its requests", async () => {
    const { response, received } = await exchange("X-Key: k1\r\n", { workspaces, mayServeKeys: () => false });
    assert.match(response, /^HTTP\/1.1 503[^]*Retry-After/);
    assert.equal(received, undefined);
});

// Guards against requests that run after their key was withdrawn, since they were decided on before.
for (const method of ["first attempt", "connection that is being opened"]) {
    test(`a request whose key may have been withdrawn while it waited is not sent: ${method}`, async () => {
        const decisions = method === "first attempt" ? [true, false] : [true, true, false];
        const mayServeKeys = () => decisions.shift() ?? assert.fail("asked too often");
        const { response, received } = await exchange("X-Key: k1\r\n", { workspaces, mayServeKeys });
        assert.match(response, /^HTTP\/1.1 503[^]*Retry-After/);
        assert.equal(received, undefined);
        assert.equal(decisions.length, 0);
    });
}

test("a key that has moved to another workspace while the request waited is not valid for it", () => {
    const [first, second] = workspaces;
    const [firstKey = "", movedKey = ""] = first!.apiKeys;
    const moved = [
        { ...first!, apiKeys: [firstKey] },
        { ...second!, apiKeys: [movedKey] },
    ];
    const [before, after] = [workspaces, moved].map((listed, version) =>
        createRouteIndex({ version, routes: [], services: [], limits: testLimits, workspaces: listed }),
    );
    const isValid = (apiKey: string, index = after) =>
        isKeyValid(
            index,
            { apiKey, route: testRoute, identity: { needsKeys: true, workspace: first } },
            () => true,
        );
    assert.ok(isValid(movedKey, before));
    assert.ok(isValid(firstKey));
    assert.ok(!isValid(movedKey));
    assert.deepEqual(
        checkAccess(after!, testRoute, movedKey, () => true),
        {
            identity: { needsKeys: true, workspace: moved[1] },
        },
    );
});

test("without workspaces, headers that would identify a caller are forwarded", async () => {
    const { received } = await exchange("X-Key: k9\r\nX-Workspace: first\r\n", {});
    assert.match(received ?? "", /X-Key: k9[^]*X-Workspace: first/);
});

test("a request beyond the quota is rejected with its retry time and not sent", async () => {
    const quota: QuotaGate = {
        acquire: (_workspace, onDecision) =>
            onDecision({ verdict: QuotaVerdict.Exceeded, retryAfterMs: 250 }),
        refund: () => assert.fail("nothing was taken"),
    };
    const { response, received, record } = await exchange("X-Key: k1\r\n", { workspaces, quota });
    assert.match(response, /^HTTP\/1.1 429[^]*Retry-After: 0.250/);
    assert.equal(received, undefined);
    assert.equal(record?.workspace, "first");
});

// Guards against a quota that shrinks by each upload that its caller breaks off.
test("what a request has taken from its quota is returned if its caller leaves during the upload", async t => {
    let [taken, returned] = [0, 0];
    const quota: QuotaGate = {
        acquire: (_workspace, onDecision) => {
            taken += 1;
            onDecision({ verdict: QuotaVerdict.Admitted, retryAfterMs: 0 });
        },
        refund: () => void (returned += 1),
    };
    const instance = await startInstance([], { workspaces, quota });
    t.after(() => instance.close());
    const caller = connect(instance.port, "127.0.0.1");
    caller.write(
        formatRequest(RequestKind.NonIdempotent, "a1").replace(
            "Content-Length: 2",
            "X-Key: k1\r\nContent-Length: 9",
        ),
    );
    await waitUntil(() => taken === 1);
    caller.destroy();
    await waitUntil(() => returned === 1);
    assert.equal(instance.active(), 0);
});
