/** A process that is stopping gets SIGTERM once more, while requests are in progress. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { hasTrouble, runCase } from "../lib-2/case.mjs";
import { newId, openConnection } from "../lib-2/client.mjs";
import { bounds, startGateways, zones } from "../lib-2/gateway.mjs";
import { createConfig, startStore } from "../lib-2/store.mjs";
import { startUpstream } from "../lib-2/upstream.mjs";

const upstreamsPerZone = 3;
const workMs = 250;
const connections = 8;
const pauseMs = 50;
const deadlineMs = 1500;
/** Time from the first SIGTERM to the second one. */
const secondAfterMs = 1000;

await runCase(new URL("./", import.meta.url), async ({ record, onEnd }) => {
    const store = await startStore();
    onEnd(() => store.close());
    const upstreams = [];
    for (const zone of Object.keys(zones)) {
        for (let index = 0; index < upstreamsPerZone; index++) {
            upstreams.push(await startUpstream({ store, zone, workMs: () => workMs, record }));
        }
    }
    onEnd(() => upstreams.forEach(upstream => upstream.close()));
    store.put("config", "main", createConfig(7));
    const fleet = await startGateways({ store: store.address });
    onEnd(() => fleet.close());
    const [gateway] = fleet.gateways;
    await sleep(1000);

    const requests = [];
    let isOver = false;
    /** Sends one request after the other on a connection of its own, until the process closes it. */
    const runClient = async index => {
        let connection = await openConnection(gateway.front);
        for (let turn = 0; !isOver; turn++) {
            if (connection.isClosed()) {
                try {
                    connection = await openConnection(gateway.front);
                } catch {
                    return;
                }
            }
            const id = newId();
            const method = index % 2 === 0 ? "GET" : "POST";
            const req = { id, method, deadlineMs, object: String(index + (turn % 5)) };
            const sentAt = performance.now();
            record("sent", { request: id, method });
            const { status, reason } = await connection.send(
                method === "GET" ? { ...req, path: "/view/1" } : { ...req, path: "/issue/1", body: "letter" },
            );
            const endedAt = performance.now();
            record("answered", { request: id, status, reason });
            requests.push({ id, method, status, sentAt, endedAt });
            await sleep(pauseMs);
        }
    };
    const clients = Array.from({ length: connections }, (_, index) => runClient(index));
    await sleep(1500);
    const stoppedAt = performance.now();
    gateway.child.kill("SIGTERM");
    record("SIGTERM", { gateway: gateway.name });
    await sleep(secondAfterMs);
    if (hasTrouble) {
        gateway.child.kill("SIGTERM");
        record("SIGTERM again", { gateway: gateway.name });
    }
    const end = await gateway.child.exited;
    record("process ended", { code: end.code, signal: end.signal, afterMs: Math.round(end.at - stoppedAt) });
    isOver = true;
    await Promise.all(clients);

    const isPassedOn = id => upstreams.some(({ ran }) => ran.includes(id));
    const isCounted = ({ id, status, sentAt, endedAt }) =>
        status === 0 &&
        isPassedOn(id) &&
        endedAt - sentAt < deadlineMs &&
        endedAt >= stoppedAt &&
        endedAt < stoppedAt + (bounds["grace-s"] + 1) * 1000;
    const lost = requests.filter(isCounted);
    lost.forEach(({ id, method }) => record("lost", { request: id, method }));
    return {
        isBroken: lost.length > 0,
        summary: {
            requests: requests.length,
            lost: lost.length,
            "of these unsafe": lost.filter(({ method }) => method === "POST").length,
        },
    };
});
