/** Simulates a surge of bulk traffic on a link between regions, with and without the link shaper. */
import { RequestClass, createManualClock, createRandom, createSilentLogger } from "@waxwingdale/core";
import type { ManualClock, RpcHandler } from "@waxwingdale/core";
import { createLinkShaper, maxLinkChunkBytes as chunkBytes } from "@waxwingdale/limits";
import type { LinkShaper } from "@waxwingdale/limits";
import { build } from "hdr-histogram-js";
import { createDelayedTransport, createFixedView } from "./broker-policy.js";
import { drawExponential } from "./simulation.js";

export interface LinkFigures {
    lookupP99: number;
    /** Fraction of the link's capacity that was used. */
    utilization: number;
}

const megabitsPerSecond = 280;
const bytesPerMs = (megabitsPerSecond * 1e6) / 8 / 1000;
const oneWayMs = 20;
const zoneDelayMs = 0.5;
const lookupBytes = 2000;
const lookupsPerSecond = 600;
/** Data in flight of a sender without the shaper, in bytes. */
const unshapedChunkBytes = 65_536;
const startMs = 5500;
const measureMs = 10_000;
const entries = ["entry-0", "entry-1", "entry-2"];

/** Creates a simulated FIFO link. */
function createSimLink(clock: ManualClock) {
    let freeAt = 0;
    let sent = 0;
    return {
        send: (bytes: number, onArrival: () => void) => {
            freeAt = Math.max(freeAt, clock.now()) + bytes / bytesPerMs;
            sent += bytes;
            clock.setTimer(freeAt - clock.now() + oneWayMs, onArrival);
        },
        sent: () => sent,
    };
}

function createShapers(clock: ManualClock): LinkShaper[] {
    const methods = new Map(entries.map(id => [id, new Map<string, RpcHandler>()]));
    return entries.map(id =>
        createLinkShaper({
            view: createFixedView(entries, id),
            transport: createDelayedTransport({ clock }, zoneDelayMs, id, to => methods.get(to)!),
            rpc: { addMethod: (name, handler) => void methods.get(id)!.set(name, handler) },
            links: () => [{ to: "south", megabitsPerSecond, reservedShare: 0.1 }],
            clock,
            logger: createSilentLogger(),
        }),
    );
}

/** Measures lookups over the link while `bulkSenders` bulk senders are active at each entry. */
export async function runLinkCase(
    seed: number,
    bulkSenders: number,
    isShaped: boolean,
): Promise<LinkFigures> {
    const clock = createManualClock();
    const random = createRandom(seed);
    const link = createSimLink(clock);
    const shapers = createShapers(clock);
    const latencies = build({ highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 });
    const take = (entry: number, requestClass: RequestClass, bytes: number) =>
        isShaped ? shapers[entry]!.take("south", requestClass, bytes) : Promise.resolve();

    const sendLookups = () => {
        clock.setTimer(drawExponential(random, 1000 / lookupsPerSecond), () => {
            sendLookups();
            const sentAt = clock.now();
            void take(Math.floor(random() * entries.length), RequestClass.Lookup, lookupBytes).then(() =>
                link.send(lookupBytes, () =>
                    latencies.recordValue(Math.round((clock.now() - sentAt) * 1000)),
                ),
            );
        });
    };
    /** Sends one chunk after the other; without the shaper the sender waits until each chunk has arrived. */
    const sendBulk = async (entry: number) => {
        for (;;) {
            await take(entry, RequestClass.Bulk, chunkBytes);
            if (isShaped) {
                link.send(chunkBytes, () => undefined);
            } else {
                await new Promise<void>(resolve => link.send(unshapedChunkBytes, resolve));
            }
        }
    };

    await clock.advance(startMs);
    sendLookups();
    for (let sender = 0; sender < bulkSenders * entries.length; sender++) {
        void sendBulk(sender % entries.length);
    }
    await clock.advance(1000);
    latencies.reset();
    const before = link.sent();
    await clock.advance(measureMs);
    return {
        lookupP99: latencies.getValueAtPercentile(99) / 1000,
        utilization: (link.sent() - before) / (bytesPerMs * measureMs),
    };
}
