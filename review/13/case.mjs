// The store comes back from a copy some seconds old. 1.5 s later, a server that has run all the while becomes cold again and says so in its entry.
import { randomUUID } from "node:crypto";
import {
    hasTrouble,
    main,
    openClient,
    putConfig,
    sleep,
    startGateways,
    startServer,
    startStore,
} from "../lib-3/world.mjs";

const regions = { "n-a": "north", "n-b": "north" };
const coldMs = 3000;
const coldPerSecond = 11;
/** `cold-per-s` x `cold-load-factor` + `cold-slack`. */
const bound = coldPerSecond * 1.5 + 5;
/** Time that the check leaves the machines to learn of it; the rule has no such time. */
const learnMs = 500;
const clientsPerGateway = 4;
const intervalMs = 50;

await main("review/13/record.txt", async world => {
    const store = await startStore(world);
    store.setEra(1);
    putConfig(store, 1, { service: { "cold-start-s": coldMs / 1000, "cold-per-s": coldPerSecond } });
    const servers = [];
    for (const zone of ["n-a", "n-a", "n-b", "n-b"]) {
        servers.push(
            await startServer(world, store, { id: `i-${zone}-${servers.length + 1}`, zone, workMs: 20 }),
        );
    }
    const gateways = await startGateways(world, store, ["n-a", "n-a", "n-b"], regions);
    await sleep(9000);
    const copy = store.copy();
    await sleep(4000);
    if (hasTrouble) {
        store.leave();
        world.record("the store is away");
        await sleep(500);
        store.comeBack(copy);
        world.record("the store is back from a copy that is 4.5 s old, in the next era");
        await sleep(500);
        servers.forEach(server => server.register("ready"));
        world.record("the servers have written their entries again");
    }
    let isOver = false;
    const callers = gateways.flatMap(gateway =>
        Array.from({ length: clientsPerGateway }, async (_, index) => {
            const client = await openClient(world, gateway.listen.callers, `${gateway.name}-${index}`);
            while (!isOver) {
                client.send({ id: randomUUID(), path: `/view/${index}`, deadlineMs: 1000 });
                await sleep(intervalMs);
            }
        }),
    );
    await sleep(1000);
    const [cold] = servers;
    const arrivals = [];
    let countFrom = Infinity;
    let countUntil = Infinity;
    cold.setIntercept(() => {
        if (world.now() >= countFrom && world.now() < countUntil) {
            arrivals.push(world.now());
        }
        return false;
    });
    cold.becomeCold(coldMs);
    countFrom = world.now() + learnMs;
    countUntil = world.now() + coldMs;
    world.record(`${cold.id} is cold for ${coldMs} ms, and its entry says so`);
    await sleep(coldMs);
    isOver = true;
    await Promise.all(callers);
    const most = Math.max(
        0,
        ...arrivals.map(from => arrivals.filter(at => at >= from && at < from + 1000).length),
    );
    world.record(`most requests at the cold server in one second: ${most}, allowed ${bound}`);
    return most <= bound;
});
