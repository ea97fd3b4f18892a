/** A request that crashes upstreams comes again and again; all machines lose power once. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { hasTrouble, runCase } from "../lib-2/case.mjs";
import { newId, openConnection, sendOnce } from "../lib-2/client.mjs";
import { bounds, startGateways, zones } from "../lib-2/gateway.mjs";
import { createConfig, startStore } from "../lib-2/store.mjs";
import { startUpstream } from "../lib-2/upstream.mjs";

const upstreamsPerZone = 3;
/** The crashing request comes again at this interval, at one machine after the other. */
const repeatMs = 6000;
const firstRepeatMs = 2000;
const repeats = 13;
/** All machines lose power at this time, for so long. */
const powerOffAtMs = 18_500;
const powerOffMs = 2000;
const crashPath = "/issue/crash";
/** From the third crash on, more retries than this break the rule. */
const knownCrashes = 3;
const allowedRetries = 3;

await runCase(new URL("./", import.meta.url), async ({ record, onEnd }) => {
    const store = await startStore();
    onEnd(() => store.close());
    const crashes = [];
    const upstreams = [];
    for (const zone of Object.keys(zones)) {
        for (let index = 0; index < upstreamsPerZone; index++) {
            const options = {
                store,
                zone,
                workMs: () => 150,
                crashes: ({ path, headers }) => {
                    if (path === crashPath) {
                        crashes.push({ request: headers["request-id"], at: performance.now() });
                    }
                    return path === crashPath;
                },
                record: (event, fields) => fields.path !== "/view/1" && record(event, fields),
            };
            upstreams.push(await startUpstream(options));
        }
    }
    onEnd(() => upstreams.forEach(upstream => upstream.close()));
    store.put("config", "main", createConfig(7));
    const fleet = await startGateways({ store: store.address });
    onEnd(() => fleet.close());
    const { gateways } = fleet;
    gateways.forEach(gateway => (gateway.startedAt = performance.now()));
    await sleep(1000);

    const beganAt = performance.now();
    let isOver = false;
    const others = { sent: 0, "lost with the upstream that ran them": 0 };
    /** Sends ordinary requests, which run at the upstreams that crash. */
    const runClient = async (gateway, index) => {
        let connection;
        for (let turn = 0; !isOver; turn++) {
            try {
                if (connection === undefined || connection.isClosed()) {
                    connection = await openConnection(gateway.front);
                }
            } catch {
                await sleep(200);
                continue;
            }
            const id = newId();
            const req = {
                id,
                method: "POST",
                path: "/issue/1",
                body: "letter",
                object: String(index + turn),
            };
            const { status } = await connection.send(req);
            others.sent += 1;
            const wasCrash = crashes.some(({ at }) => Math.abs(performance.now() - at) < 500);
            if (status !== 200 && wasCrash && upstreams.some(({ ran }) => ran.includes(id))) {
                others["lost with the upstream that ran them"] += 1;
                record("request of another client lost", { request: id, status });
            }
            await sleep(60);
        }
        connection?.close();
    };
    const clients = gateways.flatMap(gateway => [0, 1, 2, 3].map(index => runClient(gateway, index * 10)));

    const powerOff = async () => {
        await sleep(powerOffAtMs);
        if (!hasTrouble) {
            return;
        }
        gateways.forEach(({ child }) => child.kill("SIGKILL"));
        record("all machines lose power");
        await sleep(powerOffMs);
        for (const gateway of gateways) {
            gateway.start();
            gateway.startedAt = performance.now();
        }
        record("all machines start again");
    };
    const poweredOff = powerOff();

    const sent = new Map();
    for (let turn = 0; turn < repeats; turn++) {
        await sleep(beganAt + firstRepeatMs + turn * repeatMs - performance.now());
        const gateway = gateways[turn % gateways.length];
        const id = newId();
        sent.set(id, { gateway, at: performance.now() });
        record("crashing request sent", { request: id, gateway: gateway.name });
        const { status, reason } = await sendOnce(gateway.front, {
            id,
            method: "POST",
            path: crashPath,
            body: "the same each time",
            object: "crash",
        });
        record("crashing request answered", { request: id, status, reason });
    }
    isOver = true;
    await poweredOff;
    await Promise.all(clients);

    const stableMs = bounds["stable-window-s"] * 1000;
    const knownAt = (crashes[knownCrashes - 1]?.at ?? Infinity) + stableMs;
    const isInTouch = ({ gateway, at }) => hasTrouble === false || at - gateway.startedAt >= stableMs;
    const counted = crashes.filter(({ request, at }) => at > knownAt && isInTouch(sent.get(request)));
    counted.forEach(({ request }) =>
        record("counted retry", { request, gateway: sent.get(request).gateway.name }),
    );
    const retries = new Set(counted.map(({ request }) => request)).size;
    return {
        isBroken: retries > allowedRetries,
        summary: {
            "upstreams crashed": crashes.length,
            "counted retries": retries,
            "other requests": others,
        },
    };
});
