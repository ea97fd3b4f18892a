/** Guards against a response with a status that HTTP does not have, which a caller would get as the answer (MIXED). */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestKind } from "@waxwingdale/balancing";
import { formatRequest, formatResponse, sendRaw, startInstance, startServer } from "./fixtures.js";

const statuses = ["000", "001", "099", "00", "0200", "-20", "", "600", "700", "999"];

for (const status of statuses) {
    for (const kind of [RequestKind.Idempotent, RequestKind.NonIdempotent]) {
        test(`a response with status "${status}" is none, ${kind}`, async t => {
            const server = await startServer((text, socket) =>
                socket.write(formatResponse(text, "odd").replace("200", status)),
            );
            const instance = await startInstance([server]);
            t.after(() => {
                instance.close();
                server.close();
            });
            const response = await sendRaw(instance.port, formatRequest(kind, "a1"), 1);
            assert.match(response, /^HTTP\/1.1 502/);
            assert.doesNotMatch(response, /odd/);
        });
    }
}
