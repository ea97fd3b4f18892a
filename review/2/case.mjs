/** One server of each zone sends a body without end, in small chunks; the gateways that it answers run out of memory and end. */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../lib/case.mjs";
import { createClient, sendLoad } from "../lib/client.mjs";
import { startGateways, zones } from "../lib/gateway.mjs";
import { countResults, findLost } from "../lib/lost.mjs";
import { configSpec, serverEntry, startStore } from "../lib/store.mjs";
import { startUpstream } from "../lib/upstream.mjs";

const serversPerZone = 8;
const workMs = 300;
/** As long as `garble` in sites/khata-intake.toml. */
const endlessForMs = 5500;
/** Deadlines of the two largest kinds of request in large/LATER.md; the routes have the same as their timeouts. */
const deadlines = { safe: 5160, unsafe: 6152 };
const chunks = "1\r\nx\r\n".repeat(10_000);

function writeUntilClosed(socket) {
    const write = () => {
        while (!socket.destroyed && socket.writable && socket.write(chunks)) {
            // The caller still reads.
        }
    };
    socket.on("drain", write);
    write();
}

await runCase(import.meta.url, async ({ hasTrouble, log, onEnd }) => {
    const store = await startStore();
    onEnd(() => store.close());
    let isOn = false;

    const answerWithoutEnd = (req, server, socket) => {
        if (!isOn || !server.isSpoiling) {
            return false;
        }
        log(`${server.id} answers ${req.id} without end`);
        void sleep(workMs).then(() => {
            server.running -= 1;
            socket.write(`HTTP/1.1 200 OK\r\n${server.headOf(req)}Transfer-Encoding: chunked\r\n\r\n`);
            writeUntilClosed(socket);
        });
        return true;
    };

    const servers = [];
    for (const zone of Object.keys(zones)) {
        for (let index = 1; index <= serversPerZone; index++) {
            const id = `i-${zone}-${index}`;
            const answer = answerWithoutEnd;
            const server = await startUpstream({ id, service: "desk", zone, workMs, answer });
            server.isSpoiling = index === 1;
            servers.push(server);
            store.put("servers", id, serverEntry(server));
            onEnd(() => server.kill());
        }
    }
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
    log(`answers without end begin: ${isOn}`);
    await sleep(endlessForMs);
    isOn = false;
    log("answers without end are over");
    const results = await load;
    log(`answers: ${countResults(results)}`);
    for (const { id, ends } of fleet.gateways) {
        log(`${id} ended by itself ${ends.length} times`);
    }
    return findLost({ results, servers, log });
});
