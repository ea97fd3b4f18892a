/** Entry of the membership measurement: actual RPC over loopback HTTP, with every byte attributed to its entry. */
import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import {
    MemberStatus,
    createRandom,
    createRpcClient,
    createRpcServer,
    createSilentLogger,
    createSystemClock,
    isFleetKey,
    keepAliveTimeoutMs,
} from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { createMembership } from "@waxwingdale/membership";
import type { Membership } from "@waxwingdale/membership";

export interface MembershipNode {
    id: string;
    address: string;
    membership: Membership;
    /** Stops gossip and the listener, so that connections to the address are refused. */
    stop(): Promise<void>;
}

export interface ByteCount {
    sent: number;
    received: number;
}

/** Counts the bytes of all connections, including HTTP headers, for both endpoints. */
export interface ByteMeter {
    /** Counts the bytes of a connection that the server accepted. */
    trackSocket(socket: Socket, serverId: string): void;
    /** Sets which entry opened a connection. */
    setClient(socket: Socket, clientId: string): void;
    /** Returns the number of bytes by entry since the last call. */
    takeCounts(): Map<string, ByteCount>;
}

interface TrackedSocket {
    serverId: string;
    clientId: string | undefined;
    read: number;
    written: number;
}

export function createByteMeter(): ByteMeter {
    const sockets = new Map<Socket, TrackedSocket>();
    let totals = new Map<string, ByteCount>();

    const add = (id: string, sent: number, received: number) => {
        const count = totals.get(id) ?? { sent: 0, received: 0 };
        totals.set(id, { sent: count.sent + sent, received: count.received + received });
    };

    const collect = (socket: Socket, tracked: TrackedSocket) => {
        const read = socket.bytesRead - tracked.read;
        const written = socket.bytesWritten - tracked.written;
        if (tracked.clientId === undefined) {
            return;
        }
        tracked.read += read;
        tracked.written += written;
        add(tracked.serverId, written, read);
        add(tracked.clientId, read, written);
    };

    return {
        trackSocket: (socket, serverId) => {
            const tracked = { serverId, clientId: undefined, read: 0, written: 0 };
            sockets.set(socket, tracked);
            socket.once("close", () => {
                collect(socket, tracked);
                sockets.delete(socket);
            });
        },
        setClient: (socket, clientId) => {
            const tracked = sockets.get(socket);
            if (tracked !== undefined) {
                tracked.clientId = clientId;
            }
        },
        takeCounts: () => {
            sockets.forEach((tracked, socket) => collect(socket, tracked));
            const result = totals;
            totals = new Map();
            return result;
        },
    };
}

const fleetKey = "a-fleet-key-of-32-characters-xxx";
const regions = 7;

/** Adds digests as large as those that the configuration, the plan and the link shares add to an exchange. */
function addTypicalExtensions(membership: Membership): void {
    const digests = {
        config: { manifest: 1042, plan: 99_120 },
        links: { north: 12_000, south: 8000 },
        quarantine: "9f86d081884c7d65",
    };
    for (const [name, digest] of Object.entries(digests)) {
        membership.addExtension(name, { digest: () => digest, merge: () => undefined });
    }
}

async function readBody(req: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
}

/** Starts an entry with the seed addresses that `findSeeds` returns. */
export async function startNode(
    index: number,
    incarnation: number,
    meter: ByteMeter,
    findSeeds: () => Promise<string[]>,
): Promise<MembershipNode> {
    const logger = createSilentLogger();
    const rpc = createRpcServer(logger);
    const id = `entry-${index}`;
    const server = createServer((req, res) => {
        if (!isFleetKey(req.headers.authorization, fleetKey)) {
            res.writeHead(401).end();
            return;
        }
        const from = String(req.headers["waxwingdale-peer"]);
        meter.setClient(req.socket, from);
        void readBody(req)
            .then(body => rpc.receive(body, from))
            .then(text => {
                const length = Buffer.byteLength(text);
                res.writeHead(200, { "content-type": "application/json", "content-length": length });
                res.end(text);
            });
    });
    server.keepAliveTimeout = keepAliveTimeoutMs;
    server.on("connection", socket => meter.trackSocket(socket, id));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const region = `region-${index % regions}`;
    const self: Member = {
        id,
        incarnation,
        session: incarnation,
        status: MemberStatus.Live,
        region,
        zone: `${region}-a`,
        callerAddress: address,
        peerAddress: address,
        ready: true,
    };
    const client = createRpcClient({ id, fleetKey });
    const abort = new AbortController();
    const membership = createMembership({
        self,
        transport: client,
        rpc,
        clock: createSystemClock(),
        random: createRandom(index + 1),
        logger,
        findSeeds,
    });
    addTypicalExtensions(membership);
    const running = membership.run(abort.signal);
    return {
        id,
        address,
        membership,
        stop: async () => {
            abort.abort();
            server.close();
            server.closeAllConnections();
            client.close();
            await running;
        },
    };
}
