/** Stand-in of a client, after PROTOCOL.md: one attempt with an id and a deadline, on a kept or a new connection. */
import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

export function createClient({ connections = 64 } = {}) {
    const agent = new Agent({ keepAlive: true, maxSockets: connections });
    return {
        /**
         * Sends one attempt. The status is 0 if there was no complete answer within the deadline; `error` tells why. The
         * time ends when the whole answer is there.
         */
        send: ({ address, path, method = "GET", deadlineMs = 1200, object, body }) =>
            new Promise(resolve => {
                const id = randomBytes(8).toString("hex");
                const sentAt = Date.now();
                const settle = result =>
                    resolve({
                        id,
                        path,
                        method,
                        sentAt,
                        tookMs: Date.now() - sentAt,
                        isKept: req.reusedSocket,
                        status: 0,
                        ...result,
                    });
                const req = request(
                    `http://${address}${path}`,
                    {
                        method,
                        agent,
                        timeout: deadlineMs,
                        headers: {
                            Host: "files.example",
                            "Request-Id": id,
                            "Deadline-Ms": String(deadlineMs),
                            ...(object === undefined ? {} : { Cookie: `Affinity-Key=${object}` }),
                            ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }),
                        },
                    },
                    res => {
                        const chunks = [];
                        res.on("data", chunk => chunks.push(chunk));
                        res.on("end", () =>
                            settle(
                                res.complete
                                    ? {
                                          status: res.statusCode,
                                          headers: res.headers,
                                          body: Buffer.concat(chunks).toString("latin1"),
                                      }
                                    : { error: "the answer ended early" },
                            ),
                        );
                        res.on("error", err => settle({ error: err.message }));
                    },
                );
                req.on("timeout", () => req.destroy(new Error("no answer within the deadline")));
                req.on("error", err => settle({ error: err.message }));
                req.end(body);
            }),
        close: () => agent.destroy(),
    };
}

/**
 * Sends requests at a steady rate to each of the addresses, `submitShare` of them unsafe, until `endAt`. Returns all
 * results; each names its gateway. `onResult` sees them as they come.
 */
export async function sendLoad({
    client,
    gateways,
    perSecond,
    endAt,
    deadlines,
    submitShare = 0.3,
    objects = 60,
}) {
    const pending = [];
    let count = 0;
    const startedAt = Date.now();
    while (Date.now() < endAt) {
        for (const gateway of gateways) {
            count += 1;
            const isSubmit = (count * submitShare) % 1 < submitShare;
            const object = String((count * 7919) % objects);
            pending.push(
                client
                    .send({
                        address: gateway.callers,
                        path: `${isSubmit ? "/submit/" : "/view/"}${object}`,
                        method: isSubmit ? "POST" : "GET",
                        body: isSubmit ? `content ${count}` : undefined,
                        deadlineMs: isSubmit ? deadlines.unsafe : deadlines.safe,
                        object,
                    })
                    .then(result => ({ ...result, gateway: gateway.id })),
            );
        }
        const due = startedAt + ((pending.length / gateways.length) * 1000) / perSecond;
        await sleep(Math.max(0, due - Date.now()));
    }
    return Promise.all(pending);
}
