import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, test } from "node:test";
import { PeerTimeoutError, createRpcClient } from "../src/index.js";
import type { RpcClient } from "../src/index.js";

let server: Server | undefined;
let client: RpcClient | undefined;
const sockets: Socket[] = [];

afterEach(() => {
    client?.close();
    server?.close();
    sockets.forEach(socket => socket.destroy());
    sockets.length = 0;
});

/** Starts a peer that calls `respond` with the id and the method of each call. */
async function listen(respond: (socket: Socket, id: number, method: string) => void): Promise<string> {
    server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const body = data.toString().split("\r\n\r\n")[1]!;
            const { id, method } = JSON.parse(body) as { id: number; method: string };
            respond(socket, id, method);
        });
    });
    client = createRpcClient({ id: "a", fleetKey: "key", connections: 1 });
    await new Promise<void>(resolve => server!.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Fails if the connection stays open. */
async function waitUntilClosed(socket: Socket): Promise<void> {
    if (!socket.destroyed) {
        await once(socket, "close", { signal: AbortSignal.timeout(1000) });
    }
}

function format(response: unknown): string {
    const text =
        typeof response === "string" ? response : JSON.stringify({ jsonrpc: "2.0", ...(response as object) });
    return `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
}

/** Guards against a late copy of the response to an earlier call that is taken for that to the next one (MIXED). */
test("a copy of the response to the call before, when the next call is sent: the outcome is unknown at once", async () => {
    const address = await listen((socket, id, method) => {
        // The copy arrives before the response to the second call.
        socket.write(format({ id: method === "second" ? id - 1 : id, result: "first" }));
        if (method === "second") {
            setTimeout(() => socket.write(format({ id, result: "second" })), 30);
        }
    });
    assert.equal(await client!.call(address, "first", {}, 1000), "first");
    const startedAt = performance.now();
    await assert.rejects(client!.call(address, "second", {}, 1000), PeerTimeoutError);
    assert.ok(performance.now() - startedAt < 500);
    await waitUntilClosed(sockets[0]!);
    assert.equal(await client!.call(address, "third", {}, 1000), "first");
    assert.equal(sockets.length, 2);
});

for (const [name, response] of [
    ["a result without an id", { result: 1 }],
    ["a result with the id null", '{"jsonrpc":"2.0","id":null,"result":1}'],
    ["a result whose id is a string", { id: "1", result: 1 }],
    ["an error without an id", { error: { code: -32000, message: "x" } }],
    ["an error with another id", { id: 7, error: { code: -32000, message: "x" } }],
    ["an array", "[]"],
    ["null", "null"],
    ["text that is no JSON", "{"],
] as const) {
    test(`${name}: the outcome of the call is unknown, and the connection is closed`, async () => {
        const address = await listen(socket => socket.write(format(response)));
        await assert.rejects(client!.call(address, "first", {}, 1000), PeerTimeoutError);
        await waitUntilClosed(sockets[0]!);
    });
}

for (const pieceBytes of [1000, 10]) {
    // Guards against a part of a response that other bytes fill up to its length (MIXED).
    test(`a response that breaks off and goes on with other bytes, ${pieceBytes} at a time: the outcome is unknown`, async () => {
        const address = await listen((socket, id) => {
            const bytes = format({ id, result: "x".repeat(100) }).slice(0, -50) + "broken pipe\n".repeat(10);
            for (let from = 0; from < bytes.length; from += pieceBytes) {
                setTimeout(() => socket.write(bytes.slice(from, from + pieceBytes)), from / 10);
            }
        });
        await assert.rejects(client!.call(address, "first", {}, 1000), PeerTimeoutError);
    });
}
