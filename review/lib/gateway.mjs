/**
 * Starts gateways as the platform does: with the `run` line of the deploy file, the settings file in
 * WAXWINGDALE_NODE_FILE, and a restart after a short delay when a process ends by itself.
 */
import { spawn } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "../..");
const restartDelayMs = 500;

export const zones = { "bagmati-a": "bagmati", "gandaki-a": "gandaki", "koshi-a": "koshi" };

async function readRunLine() {
    const text = await readFile(join(root, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Below the range from which the system takes the ports of outgoing connections, so that none of these is in the way. */
const portRange = { first: 20_000, count: 10_000 };

/** Resolves to whether the port is free; nothing else is likely to take it between this and the gateway's start. */
function isFree(port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

async function findFreePorts(count) {
    const ports = new Set();
    while (ports.size < count) {
        const port = portRange.first + Math.floor(Math.random() * portRange.count);
        if (!ports.has(port) && (await isFree(port))) {
            ports.add(port);
        }
    }
    return [...ports];
}

/** Bounds of `sites/khata-intake.toml`, as the template of the project names them. */
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

/** Starts one gateway in each of the zones and waits until all are ready. `ownBounds` replace those of the site. */
export async function startGateways({ storeAddress, zoneNames = Object.keys(zones), log, ownBounds = {} }) {
    const [program, ...args] = await readRunLine();
    const folder = await mkdtemp(join(tmpdir(), "review-"));
    const ports = await findFreePorts(zoneNames.length * 5);
    const address = () => `127.0.0.1:${ports.pop()}`;
    const listens = zoneNames.map(() => ({
        callers: address(),
        readiness: address(),
        peers: address(),
        directory: address(),
        metrics: address(),
    }));
    const seeds = listens.slice(0, 3).map(({ peers }) => peers);
    let isClosing = false;

    const start = gateway => {
        const child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: root,
            env: {
                PATH: process.env.PATH,
                HOME: process.env.HOME,
                WAXWINGDALE_NODE_FILE: gateway.settingsPath,
            },
            stdio: ["ignore", "pipe", "pipe"],
        });
        gateway.child = child;
        gateway.startedAt = Date.now();
        child.stdout.on("data", chunk => (gateway.output = (gateway.output + chunk).slice(-2_000_000)));
        child.stderr.on("data", chunk => (gateway.errors = (gateway.errors + chunk).slice(-20_000)));
        child.on("exit", (code, signal) => {
            if (isClosing || gateway.expectsExit) {
                return;
            }
            gateway.ends.push({ at: Date.now(), code, signal });
            log(`${gateway.id} ended by itself: code ${code}, signal ${signal}`);
            void sleep(restartDelayMs).then(() => isClosing || start(gateway));
        });
    };

    const gateways = await Promise.all(
        listens.map(async (listen, index) => {
            const zone = zoneNames[index];
            const id = `front-${zone}-${index + 1}`;
            const settingsPath = join(folder, `${id}.jsonc`);
            const settings = {
                id,
                region: zones[zone],
                zone,
                listen,
                seeds,
                zones,
                store: storeAddress,
                machine: { coreShare: 0.54, cores: 1, linkMbps: 1000 },
                bounds: { ...bounds, ...ownBounds },
            };
            await writeFile(settingsPath, JSON.stringify(settings));
            const gateway = { id, zone, ...listen, settingsPath, output: "", errors: "", ends: [] };
            start(gateway);
            return gateway;
        }),
    );
    for (const gateway of gateways) {
        await waitUntilReady(gateway);
    }
    return {
        gateways,
        /** Stops a gateway with the signal and starts it again with the same settings. */
        restart: async (gateway, signal) => {
            gateway.expectsExit = true;
            const exited = new Promise(resolve => gateway.child.once("exit", resolve));
            gateway.child.kill(signal);
            await exited;
            gateway.expectsExit = false;
            await sleep(restartDelayMs);
            start(gateway);
        },
        close: async () => {
            isClosing = true;
            for (const { child } of gateways) {
                if (child.exitCode === null && child.signalCode === null) {
                    const exited = new Promise(resolve => child.once("exit", resolve));
                    child.kill("SIGKILL");
                    await exited;
                }
            }
            await rm(folder, { recursive: true, force: true });
        },
    };
}

/** Asks the readiness address as the platform does. Returns the status; 0 if there is no answer within a second. */
export function askReady({ readiness }) {
    return new Promise(resolve => {
        const req = request(`http://${readiness}/waxwingdale/ready`, { timeout: 1000, agent: false }, res => {
            res.resume();
            resolve(res.statusCode);
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve(0));
        req.end();
    });
}

export async function waitUntilReady(gateway, limitMs = 10_000) {
    const endAt = Date.now() + limitMs;
    while ((await askReady(gateway)) !== 200) {
        if (Date.now() > endAt) {
            throw new Error(`${gateway.id} is not ready after ${limitMs} ms`);
        }
        await sleep(50);
    }
}
