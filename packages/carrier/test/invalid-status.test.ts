/** Guards against a response of a backend server or a peer with a status that HTTP does not have (MIXED). */
import assert from "node:assert/strict";
import { test } from "node:test";
import { DispatchPhase } from "../src/dispatch-request.js";
import { setUp } from "./dispatch-fixture.js";

for (const status of ["000", "001", "099", "600", "999"]) {
    test(`a response with status ${status} is none`, async t => {
        const { sockets, send } = await setUp(t, (socket, requestNumber) =>
            socket.write(`HTTP/1.1 ${requestNumber === 1 ? status : 200} X\r\nContent-Length: 3\r\n\r\nodd`),
        );
        const { phase, text } = await send();
        assert.notEqual(phase, DispatchPhase.Complete);
        assert.equal(text, "");
        assert.equal((await send()).phase, DispatchPhase.Complete);
        assert.equal(sockets.length, 2);
    });
}
