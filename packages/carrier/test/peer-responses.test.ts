import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { MemberStatus, SteeringReason } from "@waxwingdale/core";
import { request } from "undici";
import { startFixture } from "./carrier-fixture.js";

/** Guards against the response to another request, and against its "not run", for a request that may have run (MIXED). */
for (const outcome of ["ran", "not-run"]) {
    for (const [name, idHeader] of [
        ["another request", "waxwingdale-request-id: e1-other\r\n"],
        ["no request", ""],
    ] as const) {
        test(`a response "${outcome}" of another region that names ${name}: the outcome is unknown`, async t => {
            const sockets = new Set<Socket>();
            const server = createServer(socket => {
                sockets.add(socket);
                socket.on("error", () => undefined);
                socket.on("data", () =>
                    socket.write(
                        `HTTP/1.1 200 OK\r\nwaxwingdale-outcome: ${outcome}\r\n${idHeader}Content-Length: 4\r\n\r\nlate`,
                    ),
                );
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const peerAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            const fixture = await startFixture([]);
            t.after(async () => {
                await fixture.close();
                server.close();
                sockets.forEach(socket => socket.destroy());
            });
            const { options } = fixture;
            const peer = { ...options.view.self(), id: "s1", status: MemberStatus.Live, peerAddress };
            options.view.liveInRegion = () => [peer];
            options.steering.chooseRegion = () => ({ region: "south", reason: SteeringReason.Home });
            const startedAt = performance.now();
            const res = await request(`${fixture.url}/register/certificates/7`, {
                method: "POST",
                headers: { "idempotency-key": "k", "waxwingdale-deadline-ms": "2000" },
                body: "{}",
            });
            assert.equal(res.headers["waxwingdale-outcome"], "unknown");
            assert.doesNotMatch(await res.body.text(), /late/);
            assert.ok(performance.now() - startedAt < 1000);
        });
    }
}
