/** Stand-in of an upstream: slots, a short queue, a health check, and answers that a case may change. */
import { clearTimeout, setTimeout } from "node:timers";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { createServer } from "node:net";

const queueLength = 9;
/** Three heartbeat intervals, after which the store removes the entry of a silent upstream. */
const lapseMs = 4500;
let nextId = 1;

/** Body of the answer to a request, which depends on its id, so that a foreign one shows. */
export function bodyOf(id, bytes = 400) {
    const line = `${createHash("sha256").update(id).digest("hex")}\n`;
    return line.repeat(Math.ceil(bytes / line.length)).slice(0, bytes);
}

export function stampOf(id, body) {
    return createHash("sha256").update(`${id}\n${body}`).digest("hex").slice(0, 24);
}

/** Takes complete requests off the beginning of what was received. */
function takeRequest(received) {
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
    const bodyStart = headEnd + 4;
    const bodyBytes = Number(headers["content-length"] ?? 0);
    if (received.length < bodyStart + bodyBytes) {
        return undefined;
    }
    const [method, path] = line.split(" ");
    const body = received.subarray(bodyStart, bodyStart + bodyBytes);
    return { req: { method, path, headers, body }, rest: received.subarray(bodyStart + bodyBytes) };
}

export function formatAnswer(status, headers, body = "") {
    const lines = Object.entries({ ...headers, "Content-Length": Buffer.byteLength(body) });
    return `HTTP/1.1 ${status} ${status === 200 ? "OK" : "Status"}\r\n${lines
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}: ${value}\r\n`)
        .join("")}\r\n${body}`;
}

/**
 * `answer(context)` may return the bytes of the answer to a request that has run, or undefined for the usual one;
 * `headers()` adds headers to all answers; `workMs(req)` is the time that a request takes.
 */
export async function startUpstream({
    store,
    zone,
    service = "files",
    slots = 3,
    workMs = () => 100,
    answer = () => undefined,
    headers = () => ({}),
    bodyBytes = () => 400,
    record = () => undefined,
    onRequest = () => undefined,
    crashes = () => false,
    crashAfterMs = 0,
    onCrash = () => undefined,
    backMs = 3000,
}) {
    let id = `i-${zone}-${nextId++}`;
    const sockets = new Set();
    const queue = [];
    const ran = [];
    const runningJobs = new Set();
    let running = 0;
    const load = () => `${running},${queue.length},${slots}`;
    const common = () => ({ "Server-Load": load(), ...headers() });

    const finish = job => {
        runningJobs.delete(job);
        running -= 1;
        startNext();
        if (job.socket.destroyed) {
            return;
        }
        const requestId = job.req.headers["request-id"];
        const body = bodyOf(requestId, bodyBytes(job.req));
        const all = { "Request-Id": requestId, "Server-Stamp": stampOf(requestId, body), ...common() };
        const context = { id, req: job.req, requestId, body, headers: all, socket: job.socket };
        job.send(answer(context) ?? formatAnswer(200, all, body));
    };
    const startNext = () => {
        while (running < slots && queue.length > 0) {
            const job = queue.shift();
            if (job.socket.destroyed) {
                continue;
            }
            running += 1;
            if (job.req.path === "/healthz") {
                running -= 1;
                job.send(formatAnswer(200, { "Instance-Id": id, ...common() }));
                continue;
            }
            const requestId = job.req.headers["request-id"];
            ran.push(requestId);
            if (crashes(job.req)) {
                record("run, and crashed by it", { upstream: id, request: requestId, crashAfterMs });
                runningJobs.add(job);
                job.timer = setTimeout(crash, crashAfterMs);
                continue;
            }
            record("run", { upstream: id, request: requestId, method: job.req.method, path: job.req.path });
            runningJobs.add(job);
            job.timer = setTimeout(() => finish(job), workMs(job.req));
        }
    };
    /** Ends the process of the upstream. It is back after a while, with a new id. */
    const crash = () => {
        const lapsing = id;
        onCrash();
        const jobs = [...runningJobs, ...queue.splice(0)];
        jobs.forEach(job => clearTimeout(job.timer));
        runningJobs.clear();
        running = 0;
        server.close();
        sockets.forEach(socket => socket.resetAndDestroy());
        setTimeout(() => store.remove("servers", lapsing), lapseMs).unref();
        setTimeout(() => {
            id = `i-${zone}-${nextId++}`;
            born = Date.now();
            listen(register);
        }, backMs).unref();
    };
    const accept = (req, socket, send) => {
        const requestId = req.headers["request-id"];
        const refused = { "Request-Id": requestId, "Not-Executed": 1, ...common() };
        const expected = req.headers["expect-instance"];
        const special = onRequest({ id, req, requestId, socket, running, queued: queue.length, refused });
        if (special !== undefined) {
            send(special);
        } else if (requestId === undefined && req.path !== "/healthz") {
            send(formatAnswer(400, { "Not-Executed": 1 }));
        } else if (expected !== undefined && expected !== id) {
            send(formatAnswer(421, { "Request-Id": requestId, "Instance-Id": id }));
        } else if (queue.length >= queueLength) {
            send(formatAnswer(503, refused));
        } else {
            queue.push({ req, socket, send });
            startNext();
        }
    };

    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        let received = Buffer.alloc(0);
        let isBusy = false;
        const next = () => {
            const found = isBusy ? undefined : takeRequest(received);
            if (found === undefined) {
                return;
            }
            received = Buffer.from(found.rest);
            isBusy = true;
            accept(found.req, socket, bytes => {
                if (!socket.destroyed) {
                    socket.write(bytes, "latin1");
                }
                isBusy = false;
                next();
            });
        };
        socket.on("data", chunk => {
            received = Buffer.concat([received, chunk]);
            next();
        });
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
    });
    let address = "";
    /** Each incarnation has a port of its own, since another process may have taken the last one. */
    const listen = onListening =>
        server.listen(0, "127.0.0.1", () => {
            address = `127.0.0.1:${server.address().port}`;
            onListening();
        });
    await new Promise(listen);
    let born = Date.now();
    let sequence = 0;
    const register = () =>
        store.put("servers", id, {
            address,
            born,
            info: { service, version: "v1", zone, slots },
            status: { state: "ready", sequence: ++sequence, "cold-remaining-s": 0 },
        });
    register();
    return {
        id: () => id,
        ran,
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
