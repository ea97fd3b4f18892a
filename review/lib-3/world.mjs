// Stand-ins for the platform's store, its backend servers and its clients, and the gateway as a separate process.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { connect, createServer as createNetServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { clearTimeout, setTimeout } from "node:timers";
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";

export { sleep };

export const ExitCode = { Held: 0, Broken: 1, NotRun: 2 };
/** Limit for a whole script in milliseconds. */
const scriptLimitMs = 110_000;
const host = "files.example";

export const hasTrouble = process.env.TROUBLE !== "0";

/** Returns ports that are free on the loopback addresses. */
export async function findFreePorts(count) {
    const servers = [];
    for (let index = 0; index < count; index++) {
        const server = createNetServer();
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
        servers.push(server);
    }
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Creates the surroundings of one script: its record, its temporary folder, and what has to be ended with it. */
export function createWorld(recordPath) {
    const startedAt = performance.now();
    const lines = [];
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const children = new Set();
    const closers = [];
    const world = {
        folder,
        children,
        closers,
        now: () => performance.now() - startedAt,
        record: text => void lines.push(`${(world.now() / 1000).toFixed(3)} ${text}`),
        end: code => {
            clearTimeout(limit);
            children.forEach(child => {
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            });
            closers.forEach(close => close());
            writeFileSync(recordPath, `${lines.join("\n")}\n`);
            rmSync(folder, { recursive: true, force: true });
            process.exit(code);
        },
    };
    const limit = setTimeout(() => {
        world.record("the script has reached its limit");
        console.log("not run: limit reached");
        world.end(ExitCode.NotRun);
    }, scriptLimitMs);
    return world;
}

/** Runs a script. `run` resolves to whether the rule held. */
export async function main(recordPath, run) {
    const world = createWorld(recordPath);
    try {
        const held = await run(world);
        world.record(held ? "result: the rule held" : "result: the rule was broken");
        console.log(held ? "held" : "broken");
        world.end(held ? ExitCode.Held : ExitCode.Broken);
    } catch (err) {
        world.record(`result: not run: ${err.stack}`);
        console.log(`not run: ${err.message}`);
        world.end(ExitCode.NotRun);
    }
}

export async function waitUntil(condition, limitMs, what) {
    const endAt = performance.now() + limitMs;
    while (!(await condition())) {
        if (performance.now() > endAt) {
            throw new Error(`${what} took longer than ${limitMs} ms`);
        }
        await sleep(20);
    }
}

/** The platform's store: objects by kind and name, lists, watches and conditional writes. */
export async function startStore(world) {
    let revision = 1;
    /** Rises each time the store comes back from an older copy; undefined for a store that knows no eras. */
    let era;
    let isAway = false;
    let kinds = new Map();
    let events = [];
    const watches = new Set();
    const sockets = new Set();
    const ofKind = kind => kinds.get(kind) ?? kinds.set(kind, new Map()).get(kind);
    const wake = () => [...watches].forEach(run => run());

    const put = (kind, name, spec, status) => {
        revision += 1;
        const metadata = {
            name,
            revision,
            "created-at": 1,
            finalizers: [],
            "delete-requested": false,
        };
        const object = { metadata, spec, status };
        ofKind(kind).set(name, object);
        events.push({ revision, kind, event: { object, removed: false } });
        wake();
        return object;
    };

    const remove = (kind, name) => {
        const object = ofKind(kind).get(name);
        if (object !== undefined) {
            revision += 1;
            ofKind(kind).delete(name);
            events.push({ revision, kind, event: { object, removed: true } });
            wake();
        }
    };

    const send = (res, code, value) => {
        const body = JSON.stringify(value);
        res.writeHead(code, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            ...(era === undefined ? {} : { "store-era": era }),
        });
        res.end(body);
    };

    const watch = (res, kind, since, waitMs) => {
        if (since > revision) {
            send(res, 410, {});
            return;
        }
        const respond = isFinal => {
            const found = events.filter(entry => entry.kind === kind && entry.revision > since);
            if (found.length > 0 || isFinal) {
                watches.delete(run);
                clearTimeout(timer);
                send(res, 200, { events: found.map(({ event }) => event), "as-of": revision });
            }
        };
        const run = () => respond(false);
        const timer = setTimeout(() => respond(true), waitMs);
        watches.add(run);
        res.on("close", () => {
            watches.delete(run);
            clearTimeout(timer);
        });
        run();
    };

    const write = (req, res, kind, name, text) => {
        const { metadata, spec, status } = JSON.parse(text);
        const current = ofKind(kind).get(name ?? metadata.name);
        const isMissing = req.method === "PUT" && current === undefined;
        const isOther =
            req.method === "POST"
                ? current !== undefined
                : metadata?.revision !== undefined && metadata.revision !== current?.metadata.revision;
        if (isMissing || isOther) {
            send(res, isMissing ? 404 : 409, current ?? {});
        } else {
            send(res, 200, put(kind, name ?? metadata.name, spec, status));
        }
    };

    const server = createServer((req, res) => {
        if (isAway) {
            req.socket.destroy();
            return;
        }
        let text = "";
        req.on("data", chunk => {
            text += chunk;
        });
        req.on("end", () => {
            const url = new URL(req.url, "http://store");
            const [, , , kind = "", name] = url.pathname.split("/").map(decodeURIComponent);
            const since = url.searchParams.get("watch");
            if (req.method === "POST" || req.method === "PUT") {
                write(req, res, kind, name, text);
            } else if (req.method === "DELETE") {
                const current = ofKind(kind).get(name);
                const wanted = url.searchParams.get("revision");
                if (current !== undefined && wanted && Number(wanted) !== current.metadata.revision) {
                    send(res, 409, current);
                } else {
                    remove(kind, name);
                    send(res, 200, {});
                }
            } else if (since) {
                watch(res, kind, Number(since), Number(url.searchParams.get("wait-ms") ?? 0));
            } else if (name === undefined) {
                const after = url.searchParams.get("after") ?? "";
                const names = [...ofKind(kind).keys()].sort().filter(other => other > after);
                const items = names.slice(0, 500).map(other => ofKind(kind).get(other));
                send(res, 200, { items, "has-more": names.length > 500, "as-of": revision });
            } else {
                const object = ofKind(kind).get(name);
                send(res, object === undefined ? 404 : 200, object ?? {});
            }
        });
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    world.closers.push(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return {
        address: `127.0.0.1:${server.address().port}`,
        put,
        remove,
        setEra: next => {
            era = next;
        },
        copy: () => ({
            revision,
            kinds: new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)])),
            events: [...events],
        }),
        /** Goes away: connections are closed, also new ones. */
        leave: () => {
            isAway = true;
            sockets.forEach(socket => socket.destroy());
        },
        /** Comes back from an older copy, in the next era. */
        comeBack: copy => {
            ({ revision, kinds, events } = copy);
            era += 1;
            isAway = false;
        },
    };
}

/** Writes a configuration with one service and the routes /view/ (safe) and /issue/ (unsafe). */
export function putConfig(store, version, fields = {}) {
    const route = {
        host,
        "timeout-s": 2,
        "target-latency-s": 0.5,
        priority: 1,
        service: "files",
        "max-attempts": 2,
        "session-affinity": false,
        "allowed-regions": [],
        ...fields.route,
    };
    store.put("config", "main", {
        version: `r${version}`,
        routes: {
            view: { ...route, "path-prefix": "/view/", kind: "safe" },
            issue: { ...route, "path-prefix": "/issue/", kind: "unsafe" },
        },
        services: {
            files: {
                "health-check-path": "/healthz",
                "max-connections": 300,
                "cold-start-s": 0.1,
                "cold-per-s": 50,
                ...fields.service,
            },
        },
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 1_048_576,
            "header-timeout-s": 10,
            "idle-timeout-s": 20,
        },
    });
}

/** A backend server that follows the platform's protocol. `runs` has the ids of the requests that it began to work on. */
export async function startServer(world, store, { id, zone, workMs = 200, slots = 8, born = 1, coldMs = 0 }) {
    const runs = [];
    const sockets = new Set();
    const startedAt = world.now();
    let currentWorkMs = workMs;
    let coldUntil = startedAt + coldMs;
    const coldSeconds = () => Math.max(0, coldUntil - world.now()) / 1000;
    let intercept = () => false;
    let running = 0;
    const self = {
        id,
        runs,
        /** `handle` returns whether it has taken over the request. */
        setIntercept: handle => {
            intercept = handle;
        },
        /** Sets how long the work on requests takes that begin from now on. */
        setWork: ms => {
            currentWorkMs = ms;
        },
        /** Becomes cold again, and says so in its entry. */
        becomeCold: forMs => {
            coldUntil = world.now() + forMs;
            self.register("ready");
        },
        register: state => {
            store.put("servers", id, {
                address: self.address,
                born,
                info: { service: "files", version: "v1", zone, slots },
                status: { state, sequence: 1, "cold-remaining-s": coldSeconds() },
            });
        },
    };
    const server = createServer({ keepAliveTimeout: 10_000 }, (req, res) => {
        const requestId = req.headers["request-id"];
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("end", () => {
            const isHealth = req.url === "/healthz";
            if (isHealth) {
                res.writeHead(200, { "Instance-Id": id, "Content-Length": 0 }).end();
                return;
            }
            if (intercept(req, res, requestId)) {
                return;
            }
            if (req.headers["expect-instance"] !== undefined && req.headers["expect-instance"] !== id) {
                res.writeHead(421, { "Request-Id": requestId, "Content-Length": 0 }).end();
                return;
            }
            runs.push(requestId);
            running += 1;
            world.record(`server ${id} runs ${requestId}`);
            let isOpen = true;
            const timer = setTimeout(() => {
                isOpen = false;
                running -= 1;
                const body = `${id} ran ${requestId}`;
                res.writeHead(200, {
                    "Request-Id": requestId,
                    "Server-Stamp": `stamp.${id}.${requestId}`,
                    "Server-Load": `${running},0,${slots}`,
                    "Content-Length": body.length,
                });
                res.end(body);
                world.record(`server ${id} answers ${requestId}`);
            }, currentWorkMs);
            res.on("close", () => {
                if (isOpen) {
                    isOpen = false;
                    running -= 1;
                    clearTimeout(timer);
                    world.record(`server ${id} loses the connection of ${requestId}`);
                }
            });
        });
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    self.address = `127.0.0.1:${server.address().port}`;
    world.closers.push(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    self.register("ready");
    return self;
}

const bounds = {
    graceSeconds: 6,
    lookupTtlSeconds: 5,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retrySlack: 58,
    coldFactor: 1.5,
    coldSlack: 5,
    configApplySeconds: 2.5,
    drainSeconds: 2.5,
    evacuateSeconds: 5,
    maxRegionShift: 0.15,
};

/** Returns the words of the gateway's `run` line in the deploy file. */
function readRunLine() {
    const [, line] = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"));
    return line.split(" ");
}

/** Prepares gateways, each with a loopback address of its own. They are started with `start`. */
export async function prepareGateways(world, store, zoneOfGateways, regions, memoryMb = 350) {
    const ports = await findFreePorts(zoneOfGateways.length * 4);
    const all = zoneOfGateways.map((zone, index) => {
        const ip = `127.0.0.${11 + index}`;
        const address = () => `${ip}:${ports.pop()}`;
        const listen = {
            callers: address(),
            readiness: address(),
            peers: address(),
            directory: address(),
        };
        return { name: `front-${zone}-${index + 1}`, zone, ip, listen };
    });
    const seeds = all.slice(0, 3).map(({ listen }) => listen.peers);
    return all.map(gateway => {
        const { name, zone, listen } = gateway;
        const path = join(world.folder, `${name}.jsonc`);
        const machine = { coreShare: 0.54, cores: 1, linkMbps: 1000, memoryMb };
        const settings = { id: name, region: regions[zone], zone, listen, zones: regions, machine, bounds };
        writeFileSync(path, JSON.stringify({ ...settings, store: store.address, seeds }));
        const self = {
            ...gateway,
            log: [],
            start: () => {
                const [command, ...args] = readRunLine();
                const child = spawn(command === "node" ? process.execPath : command, args, {
                    env: {
                        PATH: process.env.PATH,
                        HOME: process.env.HOME,
                        WAXWINGDALE_NODE_FILE: path,
                    },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                world.children.add(child);
                child.stdout.on("data", chunk => self.log.push(String(chunk)));
                child.stderr.on("data", chunk => self.log.push(String(chunk)));
                self.exited = new Promise(resolve =>
                    child.on("exit", (code, signal) => {
                        world.children.delete(child);
                        world.record(`gateway ${name} ended: ${code ?? signal}`);
                        resolve(code);
                    }),
                );
                self.child = child;
                world.record(`gateway ${name} started`);
            },
            isReady: async () => {
                const res = await get(listen.readiness, "/waxwingdale/ready").catch(() => undefined);
                return res?.status === 200;
            },
            resolve: async () => {
                const path = `/waxwingdale/resolve?name=${host}&region=${regions[zone]}&zone=${zone}`;
                return JSON.parse((await get(listen.directory, path)).body);
            },
        };
        return self;
    });
}

export async function startGateways(world, store, zoneOfGateways, regions, memoryMb) {
    const gateways = await prepareGateways(world, store, zoneOfGateways, regions, memoryMb);
    gateways.forEach(gateway => gateway.start());
    await Promise.all(gateways.map(gateway => waitUntil(gateway.isReady, 10_000, "the start")));
    return gateways;
}

export function split(address) {
    const [ip, port] = address.split(":");
    return { host: ip, port: Number(port) };
}

/** Sends a GET request on a new connection. */
export function get(address, path, timeoutMs = 1000) {
    return new Promise((resolve, reject) => {
        const socket = connect(split(address));
        const timer = setTimeout(() => socket.destroy(new Error("no answer in time")), timeoutMs);
        let text = "";
        socket.on("connect", () =>
            socket.write(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\nConnection: close\r\n\r\n`),
        );
        socket.on("data", chunk => {
            text += chunk;
        });
        socket.on("error", err => {
            clearTimeout(timer);
            reject(err);
        });
        socket.on("close", () => {
            clearTimeout(timer);
            const end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                reject(new Error("no answer"));
            } else {
                resolve({ status: Number(text.slice(9, 12)), body: text.slice(end + 4) });
            }
        });
    });
}

export function formatRequest({ id, method = "GET", path, deadlineMs = 2000, body, key }) {
    const length = body === undefined ? "" : `Content-Length: ${Buffer.byteLength(body)}\r\n`;
    const cookie = key === undefined ? "" : `Cookie: Affinity-Key=${key}\r\n`;
    return (
        `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${id}\r\n${cookie}` +
        `Deadline-Ms: ${deadlineMs}\r\n${length}\r\n${body ?? ""}`
    );
}

/** A client's connection. It reads the answers in the order of its requests. */
export async function openClient(world, address, name) {
    const socket = connect(split(address));
    const answers = new Map();
    const waiting = [];
    let received = Buffer.alloc(0);
    const self = {
        socket,
        answers,
        isClosed: false,
        /** Ids of the requests without an answer. */
        unanswered: () => [...waiting],
        send: (...requests) => {
            waiting.push(...requests.map(({ id }) => id));
            requests.forEach(({ id }) => world.record(`client ${name} sends ${id}`));
            socket.write(requests.map(formatRequest).join(""));
        },
    };
    const readAnswer = () => {
        const end = received.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        const head = received.toString("latin1", 0, end);
        const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
        if (received.length < end + 4 + length) {
            return false;
        }
        const status = Number(head.slice(9, 12));
        const isLast = /^connection: *close/im.test(head);
        const body = received.toString("latin1", end + 4, end + 4 + length);
        received = received.subarray(end + 4 + length);
        if (status >= 200) {
            const id = waiting.shift();
            answers.set(id, { status, isLast, body, head });
            world.record(`client ${name} gets ${status} for ${id}${isLast ? ", connection: close" : ""}`);
        }
        return true;
    };
    socket.on("data", chunk => {
        received = Buffer.concat([received, chunk]);
        while (readAnswer()) {
            // There may be another one.
        }
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
        self.isClosed = true;
        self.closedAt = world.now();
        const left = waiting.length === 0 ? "" : `, without answers to ${waiting.join(", ")}`;
        world.record(`client ${name}: the connection is closed${left}`);
    });
    await new Promise((resolve, reject) => {
        socket.once("connect", resolve);
        socket.once("error", reject);
    });
    return self;
}
