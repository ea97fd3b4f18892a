/** Carrier on real sockets, with stand-in backend servers and fakes of the other packages. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import {
    createCarrier,
    createConnectionPools,
    createRequestRecords,
    createRouteTable,
} from "@waxwingdale/carrier";
import type { CarrierOptions } from "@waxwingdale/carrier";
import {
    AdmissionRefusedError,
    ClaimState,
    MemberStatus,
    ReasonCode,
    RequestClass,
    SteeringReason,
    createEventLoopMonitor,
    createRandom,
    createSilentLogger,
    createSystemClock,
} from "@waxwingdale/core";
import type { BackendServer, ClaimOutcome, ClaimResult, Member, SlotResult } from "@waxwingdale/core";
import type { RouteSpec, ServiceSpec } from "@waxwingdale/manifest";
import { startBackendServer } from "@waxwingdale/stand-ins";
import type { BackendBehavior, RunningBackendServer } from "@waxwingdale/stand-ins";

/** Interval of the event loop monitor in milliseconds, as in the entry. */
const tickIntervalMs = 100;
const base = { timeoutMs: 2000, maxBodyBytes: 10_000_000, retryBudget: 1 };

export const routes: RouteSpec[] = [
    {
        ...base,
        name: "read",
        methods: ["GET"],
        path: "/detectors",
        class: RequestClass.Lookup,
        idempotent: true,
    },
    {
        ...base,
        name: "issue",
        methods: ["POST"],
        path: "/certificates",
        class: RequestClass.Write,
        idempotent: false,
    },
    {
        ...base,
        name: "download",
        methods: ["GET"],
        path: "/files",
        class: RequestClass.Bulk,
        idempotent: true,
    },
    {
        ...base,
        name: "upload",
        methods: ["PUT"],
        path: "/bundles",
        class: RequestClass.Bulk,
        idempotent: true,
    },
];

const service: ServiceSpec = {
    name: "register",
    backend: { slots: 3, maxConnections: 330, warmUpSeconds: 0, coldShare: 1 },
    sites: [],
    routes,
};

const self: Member = {
    id: "e1",
    incarnation: 1,
    session: 1,
    status: MemberStatus.Live,
    region: "north",
    zone: "a",
    callerAddress: "",
    peerAddress: "",
    ready: true,
};

export interface Fixture {
    url: string;
    backends: RunningBackendServer[];
    slotResults: SlotResult[];
    claimOutcomes: ClaimOutcome[];
    crashes: string[];
    quarantined: Set<string>;
    /** Result returned by the fake claim service. */
    claim: ClaimResult;
    options: CarrierOptions;
    close(): Promise<void>;
}

/** Starts backend servers, and a carrier that tries `extraAddresses` first and then the servers, in order. */
export async function startFixture(
    behaviors: Partial<BackendBehavior>[],
    extraAddresses: string[] = [],
): Promise<Fixture> {
    const clock = createSystemClock();
    const backends = await Promise.all(
        behaviors.map((behavior, i) =>
            startBackendServer({
                id: `b${i}`,
                service: "register",
                clock,
                random: createRandom(i),
                behavior: { workMs: 1, randomWork: false, ...behavior },
            }),
        ),
    );
    const addresses = [...extraAddresses, ...backends.map(backend => backend.address)];
    const servers = addresses.map((address, i): BackendServer => ({
        id: `s${i}`,
        service: "register",
        address,
        region: "north",
        zone: "a",
        slots: 3,
        draining: false,
    }));
    const fixture = {
        slotResults: [] as SlotResult[],
        claimOutcomes: [] as ClaimOutcome[],
        crashes: [] as string[],
        quarantined: new Set<string>(),
        claim: { state: ClaimState.Granted } as ClaimResult,
    };
    const table = createRouteTable([service]);
    const pools = createConnectionPools(() => clock.now());
    const eventLoop = createEventLoopMonitor(clock, tickIntervalMs);
    const tickTimer = setInterval(() => eventLoop.tick(), tickIntervalMs);
    const options: CarrierOptions = {
        id: "e1",
        region: "north",
        clock,
        eventLoop,
        logger: createSilentLogger(),
        fleetKey: "a key of the fleet",
        view: {
            self: () => self,
            members: () => [self],
            liveInRegion: () => [],
            find: () => undefined,
            onChange: () => () => undefined,
        },
        slots: {
            acquire: async ({ avoid }) => {
                const server = servers.find(item => !avoid.has(item.id));
                if (server === undefined) {
                    throw new AdmissionRefusedError(ReasonCode.NoBackend, 1, "no backend server is left");
                }
                return { server, release: result => void fixture.slotResults.push(result) };
            },
        },
        claims: {
            begin: async () => fixture.claim,
            finish: (_req, end) => void fixture.claimOutcomes.push(end),
            isGrantUsable: () => true,
            find: async () => ({ state: ClaimState.Absent }),
        },
        crashGuard: {
            isQuarantined: fingerprint => fixture.quarantined.has(fingerprint),
            isSuspect: () => false,
            reportCrash: async fingerprint => void fixture.crashes.push(fingerprint),
            reportSuccess: () => undefined,
        },
        links: { take: async () => undefined },
        steering: {
            chooseRegion: () => ({ region: "north", reason: SteeringReason.Home }),
            recordNoLocalBackend: () => undefined,
        },
        pools,
        records: createRequestRecords(100),
        metrics: { recordRequest: () => undefined, recordRetry: () => undefined },
        routes: () => table,
        retryBudget: () => ({ countRequest: () => undefined, tryRetry: () => true, available: () => 1 }),
        maxOutcomeBytes: () => 1000,
        findHomeRegion: () => "north",
        markDraining: () => undefined,
        onFinished: () => undefined,
    };
    const carrier = createCarrier(options);
    const server = createServer((req, res) => void carrier.handleCaller(req, res));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return Object.assign(fixture, {
        url: `http://127.0.0.1:${port}`,
        backends,
        options,
        close: async () => {
            clearInterval(tickTimer);
            server.close();
            server.closeAllConnections();
            await pools.close();
            await Promise.all(backends.map(backend => backend.close()));
        },
    });
}

/** No server of a test listens on it, so that none is given the port of an unused address. */
const unusedHost = "127.0.0.3";

/** Returns an address that nothing listens on. */
export async function findUnusedAddress(): Promise<string> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, unusedHost, resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return `${unusedHost}:${port}`;
}
