// Four of five machines of a zone lose power for good; the directory of the fifth is asked once a second.
import { createServer } from "node:net";
import {
    hasTrouble,
    main,
    putConfig,
    sleep,
    split,
    startGateways,
    startServer,
    startStore,
} from "../lib-3/world.mjs";

const regions = { "n-a": "north" };
const stableWindowMs = 4000;
/** Time after the loss from which the directory must not name the lost machines. */
const boundMs = stableWindowMs + 3000;
const watchedMs = 40_000;
/** Answers with a lost machine that the rule allows. */
const allowedAnswers = 3;

/** Holds the addresses of a machine without power: connections to it hang. */
async function holdSilently(world, { name, listen }) {
    for (const address of Object.values(listen)) {
        const sockets = new Set();
        const server = createServer({ pauseOnConnect: true }, socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
        });
        await new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(split(address), resolve);
        });
        world.closers.push(() => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        });
    }
    world.record(`${name} is silent`);
}

await main("review/15/record.txt", async world => {
    const store = await startStore(world);
    putConfig(store, 1);
    for (const index of [1, 2, 3]) {
        await startServer(world, store, { id: `i-n-a-${index}`, zone: "n-a" });
    }
    const gateways = await startGateways(world, store, ["n-a", "n-a", "n-a", "n-a", "n-a"], regions);
    const [left, ...others] = gateways;
    await sleep(6000);
    const before = await left.resolve();
    world.record(`before: ${JSON.stringify(before)}`);
    if (before.addresses.length !== gateways.length) {
        throw new Error("the machines have not found each other");
    }
    const lost = hasTrouble ? others : [];
    lost.forEach(({ child }) => child.kill("SIGKILL"));
    await Promise.all(
        lost.map(async gateway => {
            await gateway.exited;
            await holdSilently(world, gateway);
        }),
    );
    const lostAt = world.now();
    const lostAddresses = lost.map(({ listen }) => listen.callers);
    let wrong = 0;
    while (world.now() - lostAt < watchedMs) {
        const sinceMs = world.now() - lostAt;
        const { addresses } = await left.resolve();
        const named = addresses.filter(address => lostAddresses.includes(address));
        const isBeside = addresses.includes(left.listen.callers) && named.length > 0;
        const isReady = await left.isReady();
        world.record(
            `${(sinceMs / 1000).toFixed(1)} s after the loss, ready: ${isReady}: ${addresses.length} addresses, ${named.length} of lost machines`,
        );
        if (sinceMs > boundMs && isBeside) {
            wrong += 1;
        }
        await sleep(1000);
    }
    world.record(
        `answers with a lost machine beside the running one, later than ${boundMs} ms: ${wrong}, allowed ${allowedAnswers}`,
    );
    return wrong <= allowedAnswers;
});
