/** Stand-in of the platform's store: lists, objects and watches over one revision counter. It can be away. */
import { Buffer } from "node:buffer";
import { clearTimeout, setTimeout } from "node:timers";
import { createServer } from "node:http";

const pageSize = 500;

export async function startStore() {
    const objects = new Map();
    const waiting = new Set();
    const sockets = new Set();
    let events = [];
    let revision = 100;
    let isDown = false;

    const table = kind => {
        if (!objects.has(kind)) {
            objects.set(kind, new Map());
        }
        return objects.get(kind);
    };
    const publish = (kind, object, removed) => {
        events.push({ revision, kind, event: { object, removed } });
        [...waiting].forEach(wake => wake());
    };
    const put = (kind, name, spec) => {
        const before = table(kind).get(name);
        if (before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) {
            return;
        }
        revision += 1;
        const metadata = { name, revision, "created-at": 1, finalizers: [], "delete-requested": false };
        const object = { metadata, spec, status: null };
        table(kind).set(name, object);
        publish(kind, object, false);
    };
    const remove = (kind, name) => {
        const object = table(kind).get(name);
        if (object !== undefined) {
            revision += 1;
            table(kind).delete(name);
            publish(kind, object, true);
        }
    };

    const send = (res, status, value) => {
        const body = JSON.stringify(value);
        res.writeHead(status, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
        });
        res.end(body);
    };
    const list = (res, kind, after) => {
        const names = [...table(kind).keys()].sort().filter(name => name > after);
        const items = names.slice(0, pageSize).map(name => table(kind).get(name));
        send(res, 200, { items, "has-more": names.length > pageSize, "as-of": revision });
    };
    const watch = (res, kind, since, waitMs) => {
        const respond = isLast => {
            const found = events.filter(entry => entry.kind === kind && entry.revision > since);
            if (found.length > 0 || isLast) {
                waiting.delete(wake);
                clearTimeout(timer);
                send(res, 200, { events: found.map(({ event }) => event), "as-of": revision });
            }
        };
        const wake = () => respond(false);
        const timer = setTimeout(() => respond(true), waitMs);
        waiting.add(wake);
        res.on("close", () => {
            waiting.delete(wake);
            clearTimeout(timer);
        });
        wake();
    };

    const server = createServer((req, res) => {
        req.resume();
        if (isDown) {
            send(res, 503, { error: "down" });
            return;
        }
        const url = new URL(req.url, "http://store");
        const [kind, name] = url.pathname.split("/").slice(3).map(decodeURIComponent);
        const since = url.searchParams.get("watch");
        if (req.method !== "GET") {
            send(res, 503, { error: "this store takes no writes of the system" });
        } else if (since !== null) {
            watch(res, kind, Number(since), Number(url.searchParams.get("wait-ms") ?? 0));
        } else if (name === undefined) {
            list(res, kind, url.searchParams.get("after") ?? "");
        } else {
            const object = table(kind).get(name);
            send(res, object === undefined ? 404 : 200, object ?? {});
        }
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => undefined);
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        put,
        remove,
        /** Answers each call with 503, which says that nothing was done, and cuts the watches that wait. */
        setDown: value => {
            isDown = value;
            sockets.forEach(socket => socket.destroy());
        },
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}

/** Configuration with a safe, an unsafe and a download route to one service. */
export function createConfig(version, { routes = {}, timeoutS = 2, maxAttempts = 2, limits = {} } = {}) {
    const route = (prefix, kind) => ({
        host: "files.example",
        "path-prefix": prefix,
        kind,
        "timeout-s": timeoutS,
        "target-latency-s": 0.3,
        priority: 1,
        service: "files",
        "max-attempts": maxAttempts,
        "session-affinity": true,
        "allowed-regions": [],
    });
    const service = {
        "health-check-path": "/healthz",
        "max-connections": 330,
        protocol: "h1",
        tls: false,
        "cold-start-s": 3,
        "cold-per-s": 10,
    };
    return {
        version: `r${version}`,
        routes: {
            view: route("/view/", "safe"),
            issue: route("/issue/", "unsafe"),
            pack: route("/pack/", "download"),
            ...routes,
        },
        services: { files: service },
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 67_108_864,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
            ...limits,
        },
    };
}
