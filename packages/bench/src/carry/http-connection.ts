/** Minimal keep-alive HTTP client with low CPU overhead, so that the driver does not become the bottleneck. */
import { connect } from "node:net";

export interface ResponseSummary {
    status: number;
    bodyBytes: number;
}

export interface HttpConnection {
    /** Sends a request without a body and resolves at the end of its response. One request at a time. */
    get(path: string): Promise<ResponseSummary>;
    close(): void;
}

interface PendingRequest {
    resolve: (response: ResponseSummary) => void;
    reject: (err: Error) => void;
}

/** Opens a connection. Responses must have a Content-Length header. */
export function openHttpConnection(address: string): Promise<HttpConnection> {
    const colon = address.lastIndexOf(":");
    const socket = connect({
        host: address.slice(0, colon),
        port: Number(address.slice(colon + 1)),
        noDelay: true,
    });
    let pendingRequest: PendingRequest | undefined;
    let head = "";
    let response: ResponseSummary | undefined;
    let remainingBytes = 0;

    const fail = (err: Error) => {
        pendingRequest?.reject(err);
        pendingRequest = undefined;
    };

    const handleBody = (bytes: number) => {
        remainingBytes -= bytes;
        if (remainingBytes > 0) {
            return;
        }
        if (remainingBytes < 0) {
            socket.destroy(new Error(`${-remainingBytes} bytes follow the response`));
            return;
        }
        const completed = pendingRequest!;
        const summary = response!;
        pendingRequest = undefined;
        response = undefined;
        completed.resolve(summary);
    };

    const handleHead = (chunk: Buffer) => {
        head += chunk.toString("latin1");
        const end = head.indexOf("\r\n\r\n");
        if (end < 0) {
            return;
        }
        const length = /\r\ncontent-length: (\d+)/i.exec(head.slice(0, end + 2))?.[1];
        if (length === undefined) {
            socket.destroy(new Error("the response has no Content-Length header"));
            return;
        }
        remainingBytes = Number(length);
        response = { status: Number(head.slice(9, 12)), bodyBytes: remainingBytes };
        const rest = head.length - end - 4;
        head = "";
        handleBody(rest);
    };

    socket.on("data", (chunk: Buffer) => {
        if (response === undefined) {
            handleHead(chunk);
        } else {
            handleBody(chunk.length);
        }
    });
    socket.on("error", fail);
    socket.on("close", () => fail(new Error("connection closed")));
    return new Promise((resolve, reject) => {
        pendingRequest = { resolve: () => undefined, reject };
        socket.once("connect", () => {
            pendingRequest = undefined;
            resolve({
                get: path =>
                    new Promise((resolveResponse, rejectResponse) => {
                        pendingRequest = { resolve: resolveResponse, reject: rejectResponse };
                        socket.write(`GET ${path} HTTP/1.1\r\nhost: ${address}\r\naccept: */*\r\n\r\n`);
                    }),
                close: () => void socket.destroy(),
            });
        });
    });
}
