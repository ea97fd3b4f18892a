/** A server spoils the chunk-size line of a few of its answers; the gateway hangs and then ends. */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../lib/case.mjs";
import { createClient, sendLoad } from "../lib/client.mjs";
import { startGateways, zones } from "../lib/gateway.mjs";
import { countResults, findLost } from "../lib/lost.mjs";
import { configSpec, serverEntry, startStore } from "../lib/store.mjs";
import { startUpstream } from "../lib/upstream.mjs";

/** `garble` as `fleetbench kinds` gives it: these shares of the servers and of their answers; as long as in the site file. */
const garble = { share: 0.5, x: 0.02, forMs: 5500 };
const serversPerZone = 8;
const workMs = 300;
/** Deadlines of the two largest kinds of request in large/LATER.md; the routes have the same as their timeouts. */
const deadlines = { safe: 5160, unsafe: 6152 };

await runCase(import.meta.url, async ({ hasTrouble, log, onEnd }) => {
    const store = await startStore();
    onEnd(() => store.close());
    let isOn = false;
    let answered = 0;

    /** Sends the first of two chunks as it should be, and a negative number as the size of the second. */
    const spoil = (req, server, socket) => {
        if (!isOn || !server.isSpoiling) {
            return false;
        }
        answered += 1;
        if (answered % Math.round(1 / garble.x) !== 0) {
            return false;
        }
        const body = server.bodyOf(req);
        log(`${server.id} spoils its answer to ${req.id}`);
        void sleep(workMs).then(() => {
            server.running -= 1;
            socket.write(
                `HTTP/1.1 200 OK\r\n${server.headOf(req)}Transfer-Encoding: chunked\r\n\r\n` +
                    `7d0\r\n${body.slice(0, 2000)}\r\n-5\r\n${body.slice(2000)}\r\n0\r\n\r\n`,
            );
        });
        return true;
    };

    const servers = [];
    for (const zone of Object.keys(zones)) {
        for (let index = 1; index <= serversPerZone; index++) {
            const id = `i-${zone}-${index}`;
            const server = await startUpstream({ id, service: "desk", zone, workMs, answer: spoil });
            server.isSpoiling = index <= serversPerZone * garble.share;
            servers.push(server);
            store.put("servers", id, serverEntry(server));
            onEnd(() => server.kill());
        }
    }
    log(`servers that spoil answers: ${servers.filter(({ isSpoiling }) => isSpoiling).map(({ id }) => id)}`);
    store.put("config", "main", configSpec({ timeouts: { safe: 5.16, unsafe: 6.152 } }));
    const fleet = await startGateways({ storeAddress: store.address, log });
    onEnd(() => fleet.close());
    const client = createClient();
    onEnd(() => client.close());

    const startedAt = Date.now();
    const load = sendLoad({
        client,
        gateways: fleet.gateways,
        perSecond: 40,
        endAt: startedAt + 25_000,
        deadlines,
    });
    await sleep(6000);
    isOn = hasTrouble;
    log(`garble begins: ${isOn}`);
    await sleep(garble.forMs);
    isOn = false;
    log("garble ends");
    const results = await load;
    log(`answers: ${countResults(results)}`);
    for (const { id, ends } of fleet.gateways) {
        log(`${id} ended by itself ${ends.length} times`);
    }
    return findLost({ results, servers, log });
});
