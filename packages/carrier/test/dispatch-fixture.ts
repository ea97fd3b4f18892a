/** A server on raw sockets, and requests to it through a connection pool. */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { TestContext } from "node:test";
import { createConnectionPools } from "@waxwingdale/carrier";
import { createSystemClock } from "@waxwingdale/core";
import { dispatchRequest } from "../src/dispatch-request.js";

/** Starts a server that calls `respond` with the number of the request, from 1 on. */
export async function setUp(t: TestContext, respond: (socket: Socket, requestNumber: number) => unknown) {
    const sockets: Socket[] = [];
    let requests = 0;
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => void respond(socket, ++requests));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const clock = createSystemClock();
    const pools = createConnectionPools(() => clock.now());
    t.after(async () => {
        await pools.close();
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    const pool = pools.get(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
    const send = async (findMismatch?: () => string) => {
        let text = "";
        const { phase } = await dispatchRequest({
            pool,
            clock,
            method: "GET",
            path: "/",
            headers: {},
            body: undefined,
            deadlineAt: clock.now() + 1000,
            signal: undefined,
            findMismatch,
            onResponseHead: () => ({ write: chunk => void (text += chunk.toString()) }),
        });
        return { phase, text };
    };
    return { sockets, send };
}
