/** Time of one acquire and release without contention. */
import {
    RequestClass,
    SlotResult,
    createManualClock,
    createRandom,
    createSilentLogger,
} from "@waxwingdale/core";
import { createSlotBroker } from "@waxwingdale/limits";
import { createFixedView, simService } from "./broker-policy.js";

const warmUpCalls = 50_000;
const measuredCalls = 200_000;

/** Returns the median time of several rounds, in microseconds. */
export async function measureAcquireCost(): Promise<number> {
    const clock = createManualClock();
    const broker = createSlotBroker({
        view: createFixedView(["entry-0"], "entry-0"),
        transport: { call: () => Promise.reject(new Error("no peers")) },
        rpc: { addMethod: () => undefined },
        servers: () => servers,
        clock,
        random: createRandom(1),
        logger: createSilentLogger(),
    });
    await clock.advance(5500);
    const avoid = new Set<string>();
    const callOnce = async () => {
        const req = {
            service: simService,
            requestClass: RequestClass.Lookup,
            deadlineAt: clock.now() + 1000,
            suspect: false,
            avoid,
        };
        (await broker.acquire(req)).release(SlotResult.Completed);
    };
    for (let call = 0; call < warmUpCalls; call++) {
        await callOnce();
    }
    const roundMicros: number[] = [];
    for (let round = 0; round < 5; round++) {
        const startedAt = process.hrtime.bigint();
        for (let call = 0; call < measuredCalls; call++) {
            await callOnce();
        }
        roundMicros.push(Number(process.hrtime.bigint() - startedAt) / 1000 / measuredCalls);
    }
    return roundMicros.sort((a, b) => a - b)[2]!;
}

const servers = Array.from({ length: 8 }, (_, index) => ({
    id: `server-${index}`,
    service: simService,
    address: `127.0.0.1:${9000 + index}`,
    region: "north",
    zone: "a",
    slots: 3,
    draining: false,
}));
