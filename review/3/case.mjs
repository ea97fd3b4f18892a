/** Servers spoil the framing of a few of their answers; callers get a 200 with a part of the body. */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../lib/case.mjs";
import { createClient, sendLoad } from "../lib/client.mjs";
import { startGateways, zones } from "../lib/gateway.mjs";
import { countResults } from "../lib/lost.mjs";
import { configSpec, serverEntry, startStore } from "../lib/store.mjs";
import { bodyFor, stampFor, startUpstream } from "../lib/upstream.mjs";

/** `garble` as `fleetbench kinds` gives it: these shares of the servers and of their answers; as long as in the site file. */
const garble = { share: 0.5, x: 0.02, forMs: 5500 };
const serversPerZone = 8;
const workMs = 100;
const bodyBytes = 5000;
const deadlines = { safe: 1200, unsafe: 1500 };

/** Answers whose framing is damaged, so that their end can't be told. A head and 5,000 bytes of a body are sent. */
const spoiled = [
    ["Content-Length: -1", (head, body) => `${head}Content-Length: -1\r\n\r\n${body}`],
    ["Content-Length: 50o0", (head, body) => `${head}Content-Length: 50o0\r\n\r\n${body}`],
    ["Content-Length without a value", (head, body) => `${head}Content-Length:\r\n\r\n${body}`],
    [
        "no size before the second chunk",
        (head, body) =>
            `${head}Transfer-Encoding: chunked\r\n\r\n7d0\r\n${body.slice(0, 2000)}\r\n\r\n\r\n${body.slice(2000)}`,
    ],
];

await runCase(import.meta.url, async ({ hasTrouble, log, onEnd }) => {
    const store = await startStore();
    onEnd(() => store.close());
    let isOn = false;
    let answered = 0;
    const spoiledIds = new Map();

    const spoil = (req, server, socket) => {
        if (!isOn || !server.isSpoiling) {
            return false;
        }
        answered += 1;
        if (answered % Math.round(1 / garble.x) !== 0) {
            return false;
        }
        const [name, format] = spoiled[spoiledIds.size % spoiled.length];
        spoiledIds.set(req.id, name);
        log(`${server.id} spoils its answer to ${req.id}: ${name}`);
        void sleep(workMs).then(() => {
            server.running -= 1;
            const head = `HTTP/1.1 200 OK\r\n${server.headOf(req)}`;
            // The server gives up the connection after the spoiled answer.
            socket.end(format(head, server.bodyOf(req)));
        });
        return true;
    };

    const servers = [];
    for (const zone of Object.keys(zones)) {
        for (let index = 1; index <= serversPerZone; index++) {
            const id = `i-${zone}-${index}`;
            const server = await startUpstream({
                id,
                service: "desk",
                zone,
                workMs,
                bodyBytes,
                answer: spoil,
            });
            server.isSpoiling = index <= serversPerZone * garble.share;
            servers.push(server);
            store.put("servers", id, serverEntry(server));
            onEnd(() => server.kill());
        }
    }
    store.put("config", "main", configSpec());
    const fleet = await startGateways({ storeAddress: store.address, log });
    onEnd(() => fleet.close());
    const client = createClient();
    onEnd(() => client.close());

    const startedAt = Date.now();
    const load = sendLoad({
        client,
        gateways: fleet.gateways,
        perSecond: 60,
        endAt: startedAt + 15_000,
        deadlines,
    });
    await sleep(6000);
    isOn = hasTrouble;
    log(`garble begins: ${isOn}`);
    await sleep(garble.forMs);
    isOn = false;
    log("garble ends");
    const results = await load;
    log(`answers: ${countResults(results)}; spoiled by servers: ${spoiledIds.size}`);
    const isWhole = ({ id, path, body, headers }) =>
        headers["server-stamp"] === stampFor(path, id) && body === bodyFor(path, id, bodyBytes);
    return results
        .filter(result => result.status >= 200 && result.status < 300 && !isWhole(result))
        .map(
            ({ id, method, path, gateway, status, body, headers }) =>
                `MIXED ${id} ${method} ${path} via ${gateway}: ${status}, ${body.length} of ${bodyBytes} bytes, Content-Length ${headers["content-length"]}, Server-Stamp ${headers["server-stamp"]} (server sent: ${spoiledIds.get(id)})`,
        );
});
