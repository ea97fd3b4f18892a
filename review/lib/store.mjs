/**
 * Stand-in of the platform's metadata store, after PROTOCOL.md: objects by kind and name, lists in pages, watches, one
 * revision counter. It loses nothing and orders everything; each answer takes `answerMs`.
 */
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";
import { URL } from "node:url";

export async function startStore({ pageSize = 50, answerMs = 4 } = {}) {
    const kinds = new Map();
    const waiting = new Set();
    const events = [];
    const calls = [];
    let revision = 100;

    const objectsOf = kind => {
        if (!kinds.has(kind)) {
            kinds.set(kind, new Map());
        }
        return kinds.get(kind);
    };

    const publish = (kind, object, removed) => {
        events.push({ revision, kind, event: { object, removed } });
        [...waiting].forEach(wake => wake());
    };

    /** Writes an object; returns its revision. The caller of `put` has its acknowledgement when this returns. */
    const put = (kind, name, spec) => {
        revision += 1;
        const metadata = {
            name,
            revision,
            "created-at": 1,
            finalizers: [],
            "delete-requested": false,
        };
        const object = { metadata, spec, status: null };
        objectsOf(kind).set(name, object);
        publish(kind, object, false);
        return revision;
    };

    const remove = (kind, name) => {
        const object = objectsOf(kind).get(name);
        if (object === undefined) {
            return revision;
        }
        revision += 1;
        objectsOf(kind).delete(name);
        publish(kind, object, true);
        return revision;
    };

    /** The content of an answer is fixed when the call arrives; the answer takes `answerMs` to reach the caller. */
    const send = (res, status, value) => {
        const text = JSON.stringify(value);
        setTimeout(() => {
            res.writeHead(status, { "Content-Type": "application/json", "Content-Length": text.length });
            res.end(text);
        }, answerMs);
    };

    const list = (res, kind, after) => {
        const names = [...objectsOf(kind).keys()].sort().filter(name => name > after);
        const items = names.slice(0, pageSize).map(name => objectsOf(kind).get(name));
        send(res, 200, { items, "has-more": names.length > pageSize, "as-of": revision });
    };

    const watch = (res, kind, since, waitMs) => {
        const answer = isLast => {
            const found = events.filter(other => other.kind === kind && other.revision > since);
            if (found.length === 0 && !isLast) {
                return;
            }
            waiting.delete(wake);
            clearTimeout(timer);
            send(res, 200, { events: found.map(({ event }) => event), "as-of": revision });
        };
        const wake = () => answer(false);
        const timer = setTimeout(() => answer(true), waitMs);
        waiting.add(wake);
        res.on("close", () => {
            waiting.delete(wake);
            clearTimeout(timer);
        });
        wake();
    };

    const server = createServer((req, res) => {
        const url = new URL(req.url, "http://store");
        const [, , , kind, name] = url.pathname.split("/").map(decodeURIComponent);
        const since = url.searchParams.get("watch");
        calls.push({ at: Date.now(), call: `${req.method} ${req.url}` });
        req.resume();
        if (req.method !== "GET") {
            send(res, 400, { error: "the stand-in takes no writes of the system" });
        } else if (since !== null) {
            watch(res, kind, Number(since), Number(url.searchParams.get("wait-ms") ?? 0));
        } else if (name === undefined) {
            list(res, kind, url.searchParams.get("after") ?? "");
        } else {
            const object = objectsOf(kind).get(name);
            send(res, object === undefined ? 404 : 200, object ?? {});
        }
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        calls,
        put,
        remove,
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}

/** Entry that a server writes about itself. */
export function serverEntry({ address, service, zone, state = "ready", sequence = 1 }) {
    return {
        address,
        born: 1_700_000_000_000,
        info: { service, version: "v1", zone, slots: 3 },
        status: { state, sequence, "cold-remaining-s": 0 },
    };
}

/** Configuration of one service with a safe and an unsafe route, with the times of `sites/khata-intake.toml`. */
export function configSpec({ version = 1, service = "desk", timeouts = { safe: 1.2, unsafe: 1.5 } } = {}) {
    const route = {
        host: "files.example",
        service,
        "max-attempts": 2,
        "session-affinity": true,
        "allowed-regions": [],
    };
    const safe = { kind: "safe", "timeout-s": timeouts.safe, "target-latency-s": 0.2, priority: 2 };
    const unsafe = { kind: "unsafe", "timeout-s": timeouts.unsafe, "target-latency-s": 0.25, priority: 1 };
    return {
        version: `r${version}`,
        routes: {
            view: { ...route, ...safe, "path-prefix": "/view/" },
            submit: { ...route, ...unsafe, "path-prefix": "/submit/" },
        },
        services: {
            [service]: {
                "health-check-path": "/healthz",
                "max-connections": 330,
                protocol: "h1",
                tls: false,
                "cold-start-s": 3.0,
                "cold-per-s": 11.0,
            },
        },
        limits: {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
    };
}
