/** Answers that break off and go on with bytes that are no response. */
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";
import { hasTrouble, runCase } from "../lib-2/case.mjs";
import { newId, openConnection } from "../lib-2/client.mjs";
import { startGateways, zones } from "../lib-2/gateway.mjs";
import { createConfig, startStore } from "../lib-2/store.mjs";
import { bodyOf, formatAnswer, startUpstream } from "../lib-2/upstream.mjs";

/** The faulty upstreams are a third of all, and spoil one answer in 50, for 5.5 s. */
const upstreamsPerZone = 2;
const faultyUpstreams = 2;
const answersPerFault = 50;
const troubleMs = 5500;
const loadMs = 9000;
const connectionsPerGateway = 12;
const bodyBytes = 4000;
/** Bytes of the body that a spoiled answer lacks, and what follows in their place. */
const missingBytes = 1000;
const noise = "worker ended while it wrote: broken pipe\n".repeat(40);

await runCase(new URL("./", import.meta.url), async ({ record, onEnd }) => {
    const store = await startStore();
    onEnd(() => store.close());
    let isFaulty = false;
    const spoiled = new Set();

    const createAnswer = canFail => {
        let answers = 0;
        return ({ id, req, requestId, body, headers }) => {
            answers += 1;
            if (!canFail || !isFaulty || answers % answersPerFault !== 0) {
                return undefined;
            }
            spoiled.add(requestId);
            record("answer spoiled", { upstream: id, request: requestId, method: req.method });
            return formatAnswer(200, headers, body).slice(0, -missingBytes) + noise;
        };
    };
    const upstreams = [];
    for (const zone of Object.keys(zones)) {
        for (let index = 0; index < upstreamsPerZone; index++) {
            const answer = createAnswer(hasTrouble && upstreams.length < faultyUpstreams);
            const options = { store, zone, workMs: () => 5, bodyBytes: () => bodyBytes, answer };
            upstreams.push(await startUpstream(options));
        }
    }
    onEnd(() => upstreams.forEach(upstream => upstream.close()));
    store.put("config", "main", createConfig(7));
    const fleet = await startGateways({ store: store.address });
    onEnd(() => fleet.close());
    await sleep(1000);

    const statuses = {};
    const wrong = { GET: 0, POST: 0 };
    const startedAt = performance.now();
    isFaulty = true;
    setTimeout(() => (isFaulty = false), troubleMs);
    const runClient = async (gateway, index) => {
        let connection;
        for (let turn = 0; performance.now() - startedAt < loadMs; turn++) {
            if (connection === undefined || connection.isClosed()) {
                connection = await openConnection(gateway.front);
            }
            const id = newId();
            const method = turn % 2 === 0 ? "GET" : "POST";
            const req = { id, method, object: String(index + (turn % 7)) };
            const answer = await connection.send(
                method === "GET"
                    ? { ...req, path: "/view/1" }
                    : { ...req, path: "/issue/1", body: "certificate" },
            );
            statuses[answer.status] = (statuses[answer.status] ?? 0) + 1;
            const isWrong = answer.status === 200 && answer.body !== bodyOf(id, bodyBytes);
            if (isWrong) {
                wrong[method] += 1;
            }
            if (isWrong || spoiled.has(id)) {
                const ranAt = upstreams.filter(({ ran }) => ran.includes(id)).map(upstream => upstream.id());
                const end = answer.body.slice(-60);
                const { status } = answer;
                record("answered", {
                    request: id,
                    method,
                    gateway: gateway.name,
                    status,
                    isWrong,
                    ranAt,
                    end,
                });
            }
            await sleep(15);
        }
        connection.close();
    };
    await Promise.all(
        fleet.gateways.flatMap(gateway =>
            Array.from({ length: connectionsPerGateway }, (_, index) => runClient(gateway, index)),
        ),
    );
    return {
        isBroken: wrong.GET + wrong.POST > 0,
        summary: { answers: statuses, "answers spoiled": spoiled.size, "successes with a wrong body": wrong },
    };
});
