/** Stand-in of a backend server, after PROTOCOL.md. It works on raw connections, so that a case can choose each byte. */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { createServer } from "node:net";
import { setTimeout } from "node:timers";

/**
 * `answer(req, server)` may write an answer of its own and return true; otherwise the server answers as a sound one
 * does, after `workMs`. `host` is a loopback address of the server's own, if given.
 */
export async function startUpstream({ id, service, zone, workMs = 50, bodyBytes = 5000, answer, host }) {
    const runs = [];
    const sockets = new Set();
    const state = { id, service, zone, runs, isLeaving: false, running: 0 };

    const sendSound = (socket, req) => {
        const body = state.bodyOf(req);
        const leaving = state.isLeaving ? "Server-Leaving: 1\r\n" : "";
        socket.write(
            `HTTP/1.1 200 OK\r\n${state.headOf(req)}${leaving}Content-Length: ${body.length}\r\n\r\n${body}`,
        );
    };

    const handle = (socket, req) => {
        const expected = req.headers["expect-instance"];
        if (expected !== undefined && expected !== id) {
            socket.write(
                `HTTP/1.1 421 Misdirected Request\r\nRequest-Id: ${req.id}\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
            );
            return;
        }
        if (req.path === "/healthz") {
            socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        runs.push({ at: Date.now(), id: req.id, path: req.path, remote: socket.remoteAddress });
        state.running += 1;
        if (answer?.(req, state, socket) === true) {
            return;
        }
        setTimeout(() => {
            state.running -= 1;
            if (!socket.destroyed) {
                sendSound(socket, req);
            }
        }, workMs);
    };

    const server = createServer(socket => {
        sockets.add(socket);
        let buffered = Buffer.alloc(0);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            buffered = Buffer.concat([buffered, chunk]);
            for (;;) {
                const parsed = takeRequest(buffered);
                if (parsed === undefined) {
                    return;
                }
                buffered = parsed.rest;
                handle(socket, parsed.req);
            }
        });
    });
    await new Promise(resolve => server.listen(0, host ?? "127.0.0.1", resolve));
    return Object.assign(state, {
        address: `${host ?? "127.0.0.1"}:${server.address().port}`,
        /** The body that belongs to a request; clients can tell it from any other. */
        bodyOf: req => bodyFor(req.path, req.id, bodyBytes),
        headOf: req =>
            `Request-Id: ${req.id}\r\nServer-Stamp: ${stampFor(req.path, req.id)}\r\nServer-Load: ${state.running},0,3\r\n`,
        kill: () => {
            sockets.forEach(socket => socket.resetAndDestroy());
            server.close();
        },
    });
}

export function stampFor(path, id) {
    return `3e1b.${createHash("sha256").update(`${path} ${id}`).digest("hex").slice(0, 16)}`;
}

export function bodyFor(path, id, bytes) {
    const unit = `${path} ${id} `;
    return unit.repeat(Math.ceil(bytes / unit.length)).slice(0, bytes);
}

/** Takes one whole request off the front of the bytes; undefined if it is not complete yet. */
function takeRequest(bytes) {
    const headEnd = bytes.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const [line, ...lines] = bytes.toString("latin1", 0, headEnd).split("\r\n");
    const headers = Object.fromEntries(
        lines.map(text => {
            const colon = text.indexOf(":");
            return [text.slice(0, colon).toLowerCase(), text.slice(colon + 1).trim()];
        }),
    );
    const end = headEnd + 4 + Number(headers["content-length"] ?? 0);
    if (bytes.length < end) {
        return undefined;
    }
    const [method, path] = line.split(" ");
    return {
        req: { method, path, headers, id: headers["request-id"] },
        rest: bytes.subarray(end),
    };
}
