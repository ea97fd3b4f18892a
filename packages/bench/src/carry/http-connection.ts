/** A keep-alive connection that costs the driver little, so that the driver is not what a run measures. */
import { connect } from "node:net";

export interface Answer {
    status: number;
    bodyBytes: number;
}

export interface HttpConnection {
    /** Sends a request without a body and resolves at the end of its answer. One request at a time. */
    get(path: string): Promise<Answer>;
    close(): void;
}

interface Waiter {
    resolve: (answer: Answer) => void;
    reject: (err: Error) => void;
}

/** Opens a connection. Answers must have a content-length. */
export function openHttpConnection(address: string): Promise<HttpConnection> {
    const colon = address.lastIndexOf(":");
    const socket = connect({
        host: address.slice(0, colon),
        port: Number(address.slice(colon + 1)),
        noDelay: true,
    });
    let waiter: Waiter | undefined;
    let head = "";
    let answer: Answer | undefined;
    let missing = 0;

    const fail = (err: Error) => {
        waiter?.reject(err);
        waiter = undefined;
    };

    const takeBody = (bytes: number) => {
        missing -= bytes;
        if (missing > 0) {
            return;
        }
        if (missing < 0) {
            socket.destroy(new Error(`${-missing} bytes follow the answer`));
            return;
        }
        const done = waiter!;
        const whole = answer!;
        waiter = undefined;
        answer = undefined;
        done.resolve(whole);
    };

    const takeHead = (chunk: Buffer) => {
        head += chunk.toString("latin1");
        const end = head.indexOf("\r\n\r\n");
        if (end < 0) {
            return;
        }
        const length = /\r\ncontent-length: (\d+)/i.exec(head.slice(0, end + 2))?.[1];
        if (length === undefined) {
            socket.destroy(new Error("the answer has no content-length"));
            return;
        }
        missing = Number(length);
        answer = { status: Number(head.slice(9, 12)), bodyBytes: missing };
        const rest = head.length - end - 4;
        head = "";
        takeBody(rest);
    };

    socket.on("data", (chunk: Buffer) => {
        if (answer === undefined) {
            takeHead(chunk);
        } else {
            takeBody(chunk.length);
        }
    });
    socket.on("error", fail);
    socket.on("close", () => fail(new Error("the connection was closed")));
    return new Promise((resolve, reject) => {
        waiter = { resolve: () => undefined, reject };
        socket.once("connect", () => {
            waiter = undefined;
            resolve({
                get: path =>
                    new Promise((resolveAnswer, rejectAnswer) => {
                        waiter = { resolve: resolveAnswer, reject: rejectAnswer };
                        socket.write(`GET ${path} HTTP/1.1\r\nhost: ${address}\r\naccept: */*\r\n\r\n`);
                    }),
                close: () => void socket.destroy(),
            });
        });
    });
}
