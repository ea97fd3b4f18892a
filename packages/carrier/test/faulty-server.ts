/** Backend server on raw TCP that can fail at a given point of each request. */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

export enum ServerAction {
    Respond = "answer",
    NotStarted = "not-started",
    Busy = "busy",
    ResetAfterHead = "reset-after-head",
    ResetAfterBody = "reset-after-body",
    Truncate = "cut",
    Delay = "late",
    Garbage = "garbage",
    ExtraResponse = "extra-answer",
    ExtraBytes = "extra-bytes",
    CloseAfter = "close-after",
}

export interface ServerStep {
    action: ServerAction;
    /** Where to split the response, as fractions of its length. A truncated response ends at the first one. */
    splits: number[];
    chunked: boolean;
}

/** A request of which the server has read at least the path. */
export interface ReadRequest {
    nonce: string;
    refused: boolean;
    answered: boolean;
}

export interface FaultyServer {
    address: string;
    reads: ReadRequest[];
    close(): Promise<void>;
}

/** Delay of a late response. */
export const lateResponseDelayMs = 60;

export const createBody = (nonce: string) => `nonce=${nonce};`.repeat(20);

/** Starts a server. Connections whose number is in `droppedConnections` are reset before anything is read. */
export async function startFaultyServer(
    getStep: (nonce: string) => ServerStep,
    droppedConnections: readonly number[],
): Promise<FaultyServer> {
    const reads: ReadRequest[] = [];
    const sockets = new Set<Socket>();
    let count = 0;

    const serveConnection = async (socket: Socket) => {
        let text = "";
        let read: ReadRequest | undefined;
        for await (const chunk of socket) {
            text += String(chunk);
            const nonce = /^[A-Z]+ \S*\/(n\d+) /.exec(text)?.[1];
            if (nonce === undefined) {
                continue;
            }
            if (read === undefined) {
                read = { nonce, refused: false, answered: false };
                reads.push(read);
            }
            const step = getStep(nonce);
            if (step.action === ServerAction.ResetAfterHead) {
                socket.resetAndDestroy();
                return;
            }
            const end = text.indexOf("\r\n\r\n");
            const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
            if (end >= 0 && text.length >= end + 4 + length) {
                text = text.slice(end + 4 + length);
                await runAction(socket, read, step);
                read = undefined;
            }
        }
    };

    const runAction = async (socket: Socket, read: ReadRequest, { action, splits, chunked }: ServerStep) => {
        const response = formatResponse("200 OK", createBody(read.nonce), chunked);
        switch (action) {
            case ServerAction.NotStarted:
                read.refused = true;
                socket.write(formatResponse("503 Busy\r\nbackend-not-started: 1", "", false));
                return;
            case ServerAction.Busy:
                read.answered = true;
                socket.write(formatResponse("503 Busy", createBody(read.nonce), chunked));
                return;
            case ServerAction.ResetAfterHead:
            case ServerAction.ResetAfterBody:
                socket.resetAndDestroy();
                return;
            case ServerAction.Truncate:
                socket.end(response.slice(0, Math.floor((response.length - 1) * (splits[0] ?? 0))));
                return;
            case ServerAction.Garbage:
                socket.write("220 mail.example ready\r\n\r\n");
                return;
            case ServerAction.Delay:
                await new Promise(resolve => setTimeout(resolve, lateResponseDelayMs));
                break;
            case ServerAction.ExtraResponse:
                read.answered = true;
                socket.write(response + formatResponse("200 OK", createBody("n999999"), false));
                return;
            case ServerAction.ExtraBytes:
                read.answered = true;
                socket.write(`${response}HTTP/1.1 2`);
                return;
            case ServerAction.Respond:
            case ServerAction.CloseAfter:
        }
        read.answered = true;
        await writeInChunks(socket, response, splits);
        if (action === ServerAction.CloseAfter) {
            socket.end();
        }
    };

    const server = createServer({ noDelay: true, allowHalfOpen: true }, socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        if (droppedConnections.includes(count++)) {
            socket.resetAndDestroy();
            return;
        }
        void serveConnection(socket).catch(() => undefined);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        reads,
        close: async () => {
            sockets.forEach(socket => socket.destroy());
            await new Promise(resolve => server.close(resolve));
        },
    };
}

function formatResponse(status: string, body: string, chunked: boolean): string {
    return chunked
        ? `HTTP/1.1 ${status}\r\ntransfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
        : `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

async function writeInChunks(socket: Socket, text: string, splits: readonly number[]): Promise<void> {
    const offsets = splits.map(fraction => Math.floor(fraction * text.length)).sort((a, b) => a - b);
    let start = 0;
    for (const offset of [...offsets, text.length]) {
        socket.write(text.slice(start, offset));
        start = offset;
        await new Promise(resolve => setImmediate(resolve));
    }
}
