/**
 * Servers are replaced one after the other while a gateway is restarted. The list that it reads then has several pages;
 * a server that reports `draining` after its page was read stays in use.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../lib/case.mjs";
import { createClient } from "../lib/client.mjs";
import { startGateways, waitUntilReady } from "../lib/gateway.mjs";
import { countResults } from "../lib/lost.mjs";
import { configSpec, serverEntry, startStore } from "../lib/store.mjs";
import { startUpstream } from "../lib/upstream.mjs";

const zone = "bagmati-a";
/** As `page` in the site files; PROTOCOL.md allows about 500. */
const pageSize = 50;
/** The figures below are those of large/LATER.md. First, an answer of the store, and both ways between two regions. */
const answerMs = 4 + 2 * 55;
const serverCount = 565;
/** `release` of large/vgdba-lb-large.toml: this share, 18 at a time, one step a second. */
const release = { share: 0.45, atATime: 18, gapMs: 1000 };
const ownBounds = {
    drainSeconds: 4,
    configApplySeconds: 4,
    graceSeconds: 10,
    retrySlack: 430,
    coldSlack: 10,
};
const bounds = { drainMs: 4000, stableWindowMs: 5000 };
/** How long a server serves after it has reported that it drains; PROTOCOL.md: "at times many seconds". */
const servesAfterDrainMs = 20_000;

await runCase(import.meta.url, async ({ hasTrouble, log, onEnd }) => {
    const store = await startStore({ pageSize, answerMs });
    onEnd(() => store.close());
    const drainedAt = new Map();
    const servers = [];
    const addServer = async () => {
        const id = `i-${((servers.length * 2_654_435_761) % 4_294_967_296).toString(16).padStart(8, "0")}`;
        const server = await startUpstream({ id, service: "desk", zone, workMs: 40, bodyBytes: 200 });
        onEnd(() => server.kill());
        servers.push(server);
        return server;
    };
    for (let index = 0; index < serverCount; index++) {
        const server = await addServer();
        store.put("servers", server.id, serverEntry(server));
    }
    const old = [...servers];
    store.put("config", "main", configSpec());
    const fleet = await startGateways({
        storeAddress: store.address,
        zoneNames: [zone, zone],
        log,
        ownBounds,
    });
    onEnd(() => fleet.close());
    const [restarted, other] = fleet.gateways;
    const client = createClient();
    onEnd(() => client.close());

    const results = [];
    const pending = [];
    const send = (gateway, object) =>
        pending.push(
            client
                .send({ address: gateway.callers, path: `/view/${object}`, deadlineMs: 1200, object })
                .then(result => results.push({ ...result, gateway: gateway.id })),
        );
    /** Sends `perSecond` requests to each of the gateways, for objects all over. */
    const sendFor = async (gateways, ms, perSecond) => {
        const startedAt = Date.now();
        for (let count = 0; Date.now() < startedAt + ms; count++) {
            gateways.forEach(gateway => send(gateway, `${(count * 7919) % 4999}`));
            await sleep(Math.max(0, startedAt + ((count + 1) * 1000) / perSecond - Date.now()));
        }
    };

    /** Each step adds servers, and as many old ones report that they drain. */
    const playRelease = async () => {
        const leaving = old.filter((_, index) => index % 100 < release.share * 100);
        while (leaving.length > 0) {
            for (let count = 0; count < release.atATime && leaving.length > 0; count++) {
                const next = await addServer();
                store.put("servers", next.id, serverEntry(next));
                const server = leaving.splice((leaving.length * 7) >> 4, 1)[0];
                server.isLeaving = true;
                store.put("servers", server.id, serverEntry({ ...server, state: "draining", sequence: 2 }));
                drainedAt.set(server.id, Date.now());
                await sleep(release.gapMs / release.atATime);
            }
        }
        log(`released ${drainedAt.size} servers`);
    };

    await sendFor([restarted, other], 2000, 30);
    const released = playRelease();
    await sendFor([other], 2500, 30);
    if (hasTrouble) {
        log(`SIGKILL to ${restarted.id}`);
        await fleet.restart(restarted, "SIGKILL");
    }
    // The restarted gateway gets no requests until it counts as in touch again.
    await Promise.all([sendFor([other], 4000, 30), waitUntilReady(restarted)]);
    const judgedFrom = Math.max(Date.now(), restarted.startedAt + bounds.stableWindowMs);
    log(`${restarted.id} is ready`);
    await sendFor([other], judgedFrom - Date.now(), 30);
    log("clients use both gateways");
    await sendFor([restarted, other], 8000, 100);
    await released;
    await Promise.all(pending);
    log(`answers: ${countResults(results)}`);

    const gatewayOf = new Map(results.map(result => [result.id, result]));
    const broken = [];
    for (const { id, runs } of servers) {
        const at = drainedAt.get(id);
        for (const run of runs) {
            const result = gatewayOf.get(run.id);
            const lateMs = run.at - (at + bounds.drainMs);
            if (at !== undefined && lateMs > 0 && run.at >= judgedFrom && run.at < at + servesAfterDrainMs) {
                broken.push(
                    `DRAIN ${run.id} via ${result.gateway}: ran at ${id} ${lateMs} ms later than drain-s after the store took its report`,
                );
            }
        }
    }
    return broken;
});
