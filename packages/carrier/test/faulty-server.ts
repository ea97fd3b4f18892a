/** A backend server over raw TCP that fails at a chosen point of each request. */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

export enum Act {
    Answer = "answer",
    NotStarted = "not-started",
    Busy = "busy",
    ResetAfterHead = "reset-after-head",
    ResetAfterBody = "reset-after-body",
    Cut = "cut",
    Late = "late",
    Garbage = "garbage",
    ExtraAnswer = "extra-answer",
    ExtraBytes = "extra-bytes",
    CloseAfter = "close-after",
}

export interface Step {
    act: Act;
    /** Places at which the answer is split, as shares of its length; a cut answer ends at the first one. */
    splits: number[];
    chunked: boolean;
}

/** What the server knows of one request that it read a byte of. */
export interface Read {
    nonce: string;
    refused: boolean;
    answered: boolean;
}

export interface FaultyServer {
    address: string;
    reads: Read[];
    close(): Promise<void>;
}

/** Time in milliseconds of a late answer. */
export const lateMs = 60;

export const createBody = (nonce: string) => `nonce=${nonce};`.repeat(20);

/** Starts a server. Connections whose number is listed are reset before anything is read. */
export async function startFaultyServer(
    getStep: (nonce: string) => Step,
    droppedConnections: readonly number[],
): Promise<FaultyServer> {
    const reads: Read[] = [];
    const sockets = new Set<Socket>();
    let count = 0;

    const serveConnection = async (socket: Socket) => {
        let text = "";
        let read: Read | undefined;
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
            if (step.act === Act.ResetAfterHead) {
                socket.resetAndDestroy();
                return;
            }
            const end = text.indexOf("\r\n\r\n");
            const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
            if (end >= 0 && text.length >= end + 4 + length) {
                text = text.slice(end + 4 + length);
                await act(socket, read, step);
                read = undefined;
            }
        }
    };

    const act = async (socket: Socket, read: Read, { act: kind, splits, chunked }: Step) => {
        const answer = formatAnswer("200 OK", createBody(read.nonce), chunked);
        switch (kind) {
            case Act.NotStarted:
                read.refused = true;
                socket.write(formatAnswer("503 Busy\r\nbackend-not-started: 1", "", false));
                return;
            case Act.Busy:
                read.answered = true;
                socket.write(formatAnswer("503 Busy", createBody(read.nonce), chunked));
                return;
            case Act.ResetAfterHead:
            case Act.ResetAfterBody:
                socket.resetAndDestroy();
                return;
            case Act.Cut:
                socket.end(answer.slice(0, Math.floor((answer.length - 1) * (splits[0] ?? 0))));
                return;
            case Act.Garbage:
                socket.write("220 mail.example ready\r\n\r\n");
                return;
            case Act.Late:
                await new Promise(resolve => setTimeout(resolve, lateMs));
                break;
            case Act.ExtraAnswer:
                read.answered = true;
                socket.write(answer + formatAnswer("200 OK", createBody("n999999"), false));
                return;
            case Act.ExtraBytes:
                read.answered = true;
                socket.write(`${answer}HTTP/1.1 2`);
                return;
            case Act.Answer:
            case Act.CloseAfter:
        }
        read.answered = true;
        await writeInPieces(socket, answer, splits);
        if (kind === Act.CloseAfter) {
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

function formatAnswer(status: string, body: string, chunked: boolean): string {
    return chunked
        ? `HTTP/1.1 ${status}\r\ntransfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
        : `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

async function writeInPieces(socket: Socket, text: string, splits: readonly number[]): Promise<void> {
    const places = splits.map(share => Math.floor(share * text.length)).sort((a, b) => a - b);
    let start = 0;
    for (const place of [...places, text.length]) {
        socket.write(text.slice(start, place));
        start = place;
        await new Promise(resolve => setImmediate(resolve));
    }
}
