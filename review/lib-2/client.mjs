/** Stand-in of a client: a connection that may carry several requests, and what came back on it. */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { randomBytes } from "node:crypto";
import { connect } from "node:net";

export const newId = () => randomBytes(8).toString("hex");

export function formatRequest({
    id,
    method = "GET",
    path,
    deadlineMs = 1500,
    object = "1",
    body,
    headers = {},
}) {
    const lines = {
        Host: "files.example",
        "Request-Id": id,
        Cookie: `Affinity-Key=${object}`,
        "Deadline-Ms": deadlineMs,
        ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
    };
    const head = Object.entries(lines).map(([name, value]) => `${name}: ${value}\r\n`);
    return `${method} ${path} HTTP/1.1\r\n${head.join("")}\r\n${body ?? ""}`;
}

function takeAnswer(received) {
    const headEnd = received.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const [line, ...lines] = received.toString("latin1", 0, headEnd).split("\r\n");
    const headers = Object.fromEntries(
        lines.map(text => [
            text.slice(0, text.indexOf(":")).toLowerCase(),
            text.slice(text.indexOf(":") + 1).trim(),
        ]),
    );
    const end = headEnd + 4 + Number(headers["content-length"] ?? 0);
    if (received.length < end) {
        return undefined;
    }
    const body = received.toString("latin1", headEnd + 4, end);
    return { answer: { status: Number(line.split(" ")[1]), headers, body }, rest: received.subarray(end) };
}

/** Opens a connection. `send` resolves with the answer, or with status 0 if the connection ends before it is whole. */
export async function openConnection({ host, port }) {
    const socket = connect({ host, port, noDelay: true });
    const pending = [];
    let received = Buffer.alloc(0);
    let isClosed = false;
    const end = reason => {
        isClosed = true;
        pending.splice(0).forEach(resolve => resolve({ status: 0, headers: {}, body: "", reason }));
    };
    socket.on("data", chunk => {
        received = Buffer.concat([received, chunk]);
        for (let found = takeAnswer(received); found !== undefined; found = takeAnswer(received)) {
            received = Buffer.from(found.rest);
            pending.shift()?.({ ...found.answer, at: performance.now() });
        }
    });
    socket.on("error", err => end(err.code));
    socket.on("close", () => end("closed"));
    await new Promise((resolve, reject) => {
        socket.once("connect", resolve);
        socket.once("error", reject);
    });
    return {
        socket,
        isClosed: () => isClosed || socket.destroyed || socket.readableEnded,
        send: req =>
            new Promise(resolve => {
                if (isClosed) {
                    resolve({ status: 0, headers: {}, body: "", reason: "closed before", unsent: true });
                    return;
                }
                pending.push(resolve);
                socket.write(formatRequest(req), "latin1");
            }),
        close: () => socket.destroy(),
    };
}

/** Sends one request on a connection of its own. */
export async function sendOnce(target, req) {
    try {
        const connection = await openConnection(target);
        const answer = await connection.send(req);
        connection.close();
        return answer;
    } catch (err) {
        return { status: 0, headers: {}, body: "", reason: err.code, unsent: true };
    }
}
