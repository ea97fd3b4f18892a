/** Starts instances of the gateway with the command and the template of the deploy file, on loopback addresses. */
import { performance } from "node:perf_hooks";
import { spawn } from "node:child_process";
import { mkdtemp, readFile, writeFile } from "node:fs/promises";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

export const root = new URL("../../", import.meta.url).pathname;
/** Regions of the zones of a small deployment. */
export const zones = { "n-a": "north", "n-b": "north", "s-a": "south" };
/** Bounds of `sites/khata-intake.toml` as the platform writes them into the settings. */
export const bounds = {
    "stable-window-s": 3,
    "drain-s": 2.5,
    "grace-s": 6,
    "config-apply-s": 2.5,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "retry-budget-slack": 58,
    "cold-load-factor": 1.5,
    "cold-slack": 5,
    "evacuate-s": 5,
    ttl_max_s: 5,
    "max-region-shift": 0.15,
};
const ports = { front: 8144, ready: 8140, control: 8146, directory: 8143 };
const metricsPort = 9464;

function lookUp(scopes, name) {
    if (name === ".") {
        return scopes[0];
    }
    for (const scope of scopes) {
        const value = name.split(".").reduce((table, key) => table?.[key], scope);
        if (value !== undefined) {
            return value;
        }
    }
    return undefined;
}

/** Fills in the parts of the platform's template language that the project's template uses. */
function render(text, scopes) {
    const section = /\{\{([#^])([\w.-]+)\}\}([^]*?)\{\{\/\2\}\}/;
    let rest = text;
    for (let found = section.exec(rest); found !== null; found = section.exec(rest)) {
        const [whole, sign, name, inner] = found;
        const value = lookUp(scopes, name);
        const isPresent = value !== undefined && value !== null && value !== false;
        rest = rest.replace(whole, () => (isPresent === (sign === "#") ? inner : ""));
    }
    return rest.replace(/\{\{([\w.-]+)(\|json)?\}\}/g, (_, name, json) => {
        const value = lookUp(scopes, name);
        return json === undefined ? String(value ?? "") : JSON.stringify(value ?? null);
    });
}

async function readRole() {
    const text = await readFile(join(root, "deploy/system.toml"), "utf8");
    const run = /^run = "(.*)"$/m.exec(text)[1].split(" ");
    const template = await readFile(join(root, /^template = "(.*)"$/m.exec(text)[1]), "utf8");
    return { run, template };
}

function isFree(host, port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}

/** Picks loopback addresses, one for each instance, on which the ports of an instance are free. */
async function pickHosts(count) {
    for (let attempt = 0; attempt < 50; attempt++) {
        const net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
        const hosts = Array.from({ length: count }, (_, index) => `${net}.${10 + index}`);
        const all = hosts.flatMap(host =>
            [...Object.values(ports), metricsPort].map(port => isFree(host, port)),
        );
        if ((await Promise.all(all)).every(Boolean)) {
            return hosts;
        }
    }
    throw new Error("no free loopback addresses");
}

function get(host, port, path) {
    return new Promise(resolve => {
        const req = request({ host, port, path, agent: false }, res => {
            let text = "";
            res.on("data", chunk => (text += chunk));
            res.on("end", () => resolve({ status: res.statusCode, text }));
        });
        req.setTimeout(1000, () => req.destroy());
        req.on("error", () => resolve({ status: 0, text: "" }));
        req.end();
    });
}

/** Starts one instance in each of the given zones and waits until all are ready. */
export async function startGateways({ store, zoneNames = Object.keys(zones) }) {
    const { run, template } = await readRole();
    const folder = await mkdtemp(join(tmpdir(), "review-gateway-"));
    const hosts = await pickHosts(zoneNames.length);
    const seeds = hosts.slice(0, 3).map(host => `${host}:${ports.control}`);
    const gateways = zoneNames.map((zone, index) => {
        const host = hosts[index];
        const name = `front-${zone}-${index + 1}`;
        const path = join(folder, `${name}.yaml`);
        const fields = {
            "node-name": name,
            ip: host,
            zone,
            region: zones[zone],
            limits: { "cpu-share": 0.54, cores: 1, "memory-mb": 350, "max-fds": 4100, "link-mbps": 1000 },
            "listen-addrs": Object.fromEntries(
                Object.entries(ports).map(([kind, port]) => [kind, `${host}:${port}`]),
            ),
            seeds,
            zones,
            provider: { address: store },
            bounds,
        };
        const gateway = {
            name,
            zone,
            host,
            path,
            front: { host, port: ports.front },
            child: undefined,
            log: "",
        };
        gateway.writeSettings = (change = {}) =>
            writeFile(path, render(template, [{ ...fields, ...change }]));
        gateway.start = () => {
            const [command, ...args] = run;
            const child = spawn(command, args, {
                cwd: root,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, WAXWINGDALE_NODE_FILE: path },
                stdio: ["ignore", "pipe", "pipe"],
            });
            child.stdout.on("data", chunk => (gateway.log += chunk));
            child.stderr.on("data", chunk => (gateway.log += chunk));
            child.exited = new Promise(resolve =>
                child.once("exit", (code, signal) => resolve({ code, signal, at: performance.now() })),
            );
            child.hasEnded = false;
            void child.exited.then(() => (child.hasEnded = true));
            gateway.child = child;
        };
        gateway.isReady = async () => (await get(host, ports.ready, "/waxwingdale/ready")).status === 200;
        gateway.resolve = async zoneName => {
            const query = `name=files.example&region=${zones[zoneName]}&zone=${zoneName}`;
            const { status, text } = await get(host, ports.directory, `/waxwingdale/resolve?${query}`);
            return status === 200 ? JSON.parse(text).addresses : [];
        };
        gateway.state = async () => JSON.parse((await get(host, ports.control, "/state")).text || "{}");
        gateway.waitReady = async (limitMs = 15_000) => {
            for (const end = performance.now() + limitMs; !(await gateway.isReady()); await sleep(50)) {
                if (performance.now() > end || gateway.child.hasEnded) {
                    throw new Error(`${name} did not become ready: ${gateway.log.slice(-2000)}`);
                }
            }
        };
        return gateway;
    });
    // Nothing is left behind if the case itself fails.
    process.once("exit", () => gateways.forEach(({ child }) => child?.kill("SIGKILL")));
    for (const gateway of gateways) {
        await gateway.writeSettings();
        gateway.start();
    }
    await Promise.all(gateways.map(gateway => gateway.waitReady()));
    return {
        gateways,
        close: async () => {
            for (const { child } of gateways) {
                child.kill("SIGKILL");
            }
            await Promise.all(gateways.map(({ child }) => child.exited));
        },
    };
}
