/** A request that crashes each server that begins to run it comes again and again, and is sent to servers each time. */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../lib/case.mjs";
import { createClient, sendLoad } from "../lib/client.mjs";
import { startGateways, zones } from "../lib/gateway.mjs";
import { countResults } from "../lib/lost.mjs";
import { configSpec, serverEntry, startStore } from "../lib/store.mjs";
import { startUpstream } from "../lib/upstream.mjs";

const serversPerZone = 8;
const workMs = 240;
/** Deadlines of khata-intake. */
const deadlines = { safe: 1200, unsafe: 1500 };
const stableWindowMs = 3000;
/** "The upstream is back after some seconds"; an entry is removed after three heartbeats of silence. */
const backAfterMs = 3000;
const removedAfterMs = 4500;
/** Retries of the rule that may still reach servers after the third crash and the stable window. */
const allowedRetries = 3;
const crashingPath = "/view/crashing";
const againEveryMs = 1000;
const playMs = 22_000;

await runCase(import.meta.url, async ({ hasTrouble, log, onEnd }) => {
    const store = await startStore();
    onEnd(() => store.close());
    const servers = [];
    const crashes = [];
    let isEnding = false;
    onEnd(() => {
        isEnding = true;
        servers.forEach(server => server.kill());
    });

    const startServer = async (zone, cold) => {
        const id = `i-${zone}-${servers.length + 1}`;
        const server = await startUpstream({ id, service: "desk", zone, workMs, answer: crashOn });
        servers.push(server);
        const entry = serverEntry(server);
        entry.born += servers.length;
        entry.status["cold-remaining-s"] = cold;
        store.put("servers", id, entry);
    };

    /** The server ends as it begins to run the request; another takes its place, as a new incarnation. */
    const crashOn = (req, server) => {
        if (req.path !== crashingPath) {
            return false;
        }
        crashes.push({ at: Date.now(), id: req.id, server: server.id });
        log(`${server.id} crashes on ${req.id}`);
        server.kill();
        void sleep(backAfterMs).then(() => isEnding || startServer(server.zone, 3));
        void sleep(removedAfterMs).then(() => isEnding || store.remove("servers", server.id));
        return true;
    };

    for (const zone of Object.keys(zones)) {
        for (let index = 1; index <= serversPerZone; index++) {
            await startServer(zone, 0);
        }
    }
    store.put("config", "main", configSpec());
    const fleet = await startGateways({ storeAddress: store.address, log });
    onEnd(() => fleet.close());
    const { gateways } = fleet;
    const client = createClient();
    onEnd(() => client.close());
    await sleep(stableWindowMs);

    const startedAt = Date.now();
    const endAt = startedAt + playMs;
    const load = sendLoad({ client, gateways, perSecond: 40, endAt, deadlines });
    const attempts = [];
    for (let count = 0; hasTrouble && Date.now() < endAt - deadlines.safe; count++) {
        const { callers: address } = gateways[count % gateways.length];
        attempts.push(
            client.send({ address, path: crashingPath, deadlineMs: deadlines.safe, object: "crashing" }),
        );
        await sleep(againEveryMs);
    }
    const results = await load;
    log(`answers to the crashing request: ${countResults(await Promise.all(attempts))}`);
    log(`answers to all others: ${countResults(results)}`);

    const runs = new Map(servers.flatMap(({ id, runs }) => runs.map(run => [run.id, id])));
    const lost = results.filter(
        ({ id, method, status }) => method === "POST" && status !== 200 && runs.has(id),
    );
    lost.forEach(({ id, status }) =>
        log(`not idempotent, ran at ${runs.get(id)}, answered ${status}: ${id}`),
    );
    const thirdAt = crashes[2]?.at ?? Infinity;
    const late = crashes.filter(({ at }) => at > thirdAt + stableWindowMs);
    const retries = new Set(late.map(({ id }) => id)).size;
    log(`${crashes.length} crashes, ${late.length} of them later than ${stableWindowMs} ms after the third`);
    return retries > allowedRetries
        ? [`BUDGET ${retries} retries reached servers later than the stable window after the third crash`]
        : [];
});
