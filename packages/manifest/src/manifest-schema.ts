/** Schema of the manifest. Its output type is checked against `Manifest` at compile time. */
import { RequestClass, maxObjectBytes } from "@waxwingdale/core";
import * as v from "valibot";
import type { Manifest } from "./types.js";

const maxNameLength = 63;
/** Upper limit of counts and rates; it only catches values in a wrong unit. */
const maxCount = 1_000_000_000;
/** Maximum size of a request body: 10 GiB. */
const maxBodyBytes = 10 * 1024 ** 3;
const maxTimeoutMs = 60 * 60 * 1000;
const maxSeconds = 366 * 24 * 60 * 60;

/** HTTP methods that a route may have. */
export const httpMethods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const isoTime = /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2}(\.\d{1,3})?)?(Z|[+-]\d{2}:\d{2})$/;
const ipv4Block = /^\d{1,3}(\.\d{1,3}){3}\/\d{1,2}$/;

const name = (description: string) =>
    v.pipe(
        v.string(),
        v.regex(/^[a-z0-9][a-z0-9-]*$/, "lower-case letters, digits and hyphens, such as north-a"),
        v.maxLength(maxNameLength),
        v.description(description),
    );
const count = (description: string, max = maxCount, min = 1) =>
    v.pipe(v.number(), v.integer(), v.minValue(min), v.maxValue(max), v.description(description));
const share = (description: string) =>
    v.pipe(v.number(), v.minValue(0), v.maxValue(1), v.description(description));
const time = (description: string) =>
    v.pipe(
        v.string(),
        v.regex(isoTime, "an ISO 8601 time with time zone, such as 2026-05-01T06:00:00+07:00"),
        v.description(description),
    );

const region = v.strictObject({
    name: name("Name of the region."),
    zones: v.pipe(v.array(name("Availability zone.")), v.minLength(1), v.description("Availability zones.")),
});

const link = v.strictObject({
    from: name("Region where the link starts."),
    to: name("Region where the link ends."),
    megabitsPerSecond: count("Bandwidth in this direction."),
    oneWayDelayMs: v.pipe(
        v.number(),
        v.minValue(0),
        v.maxValue(10_000),
        v.description("One-way delay in milliseconds."),
    ),
    reservedShare: v.optional(share("Share of the bandwidth that bulk traffic may not use."), 0.1),
});

const site = v.strictObject({
    name: name("Name of the site."),
    region: name("Region of the site."),
    zone: name("Availability zone of the site."),
});

const route = v.strictObject({
    name: name("Name of the route."),
    methods: v.pipe(
        v.array(v.pipe(v.string(), v.values(httpMethods))),
        v.minLength(1),
        v.description("HTTP methods."),
    ),
    path: v.pipe(
        v.string(),
        v.regex(/^\/[A-Za-z0-9._~/-]*$/, "a path that starts with /, such as /certificates"),
        v.description("Path prefix after the service's name. The longest matching prefix wins."),
    ),
    class: v.pipe(v.enum(RequestClass), v.description("Class of the requests.")),
    idempotent: v.pipe(
        v.boolean(),
        v.description("Whether running a request twice has the same effect as running it once."),
    ),
    timeoutMs: count("Timeout of the whole request, in milliseconds.", maxTimeoutMs),
    maxBodyBytes: count("Maximum size of a request body, in bytes.", maxBodyBytes, 0),
    retryBudget: share("Maximum retries as a fraction of the route's requests."),
});

const service = v.strictObject({
    name: name("Name of the service."),
    backend: v.pipe(
        v.strictObject({
            slots: count("Requests that one backend server runs concurrently.", 100_000),
            maxConnections: count("Connections that one backend server accepts.", 1_000_000),
            warmUpSeconds: count(
                "Time for which a started or newly loaded backend server has cold caches, in seconds.",
                maxSeconds,
                0,
            ),
            coldShare: v.pipe(
                v.number(),
                v.gtValue(0),
                v.maxValue(1),
                v.description("Share of its capacity that a server with cold caches can serve."),
            ),
        }),
        v.description("Properties of each backend server of the service."),
    ),
    sites: v.pipe(
        v.array(
            v.strictObject({
                site: name("Site that runs the service."),
                servers: count("Backend servers of the service at this site.", 1_000_000),
                maxRequestsPerSecond: count("Maximum requests per second at this site."),
            }),
        ),
        v.minLength(1),
        v.description("Sites that run the service, and the capacity of each."),
    ),
    routes: v.pipe(v.array(route), v.minLength(1), v.description("Routes of the service.")),
});

const shiftCap = v.strictObject({
    from: name("Region whose traffic is shifted."),
    to: name("Region that receives the traffic."),
    maxRequestsPerSecond: count("Maximum shifted requests per second, all services together."),
    maxIncreasePerSecond: count("Maximum increase of the shifted requests per second within one second."),
});

const drain = v.strictObject({
    place: name("Site or region that is drained."),
    service: v.optional(name("Service that is drained; all services if omitted.")),
    startsAt: time("Start of the drain."),
    endsAt: v.optional(time("End of the drain; if omitted, it lasts until the manifest changes.")),
});

const clientBlock = v.strictObject({
    block: v.pipe(
        v.string(),
        v.regex(ipv4Block, "an IPv4 block, such as 10.1.0.0/16"),
        v.description("IPv4 block of client addresses. The longest matching prefix wins."),
    ),
    region: name("Home region of the clients."),
});

/** Schema of a manifest file. */
export const manifestSchema = v.strictObject({
    formatVersion: v.pipe(v.literal(1), v.description("Version of this format.")),
    deployment: name("Name of the deployment."),
    regions: v.pipe(v.array(region), v.minLength(1), v.description("Regions and their availability zones.")),
    storeRegion: name("Region of the platform's object store."),
    links: v.pipe(v.array(link), v.description("Links between regions, one for each direction.")),
    sites: v.pipe(v.array(site), v.minLength(1), v.description("Places where services run.")),
    services: v.pipe(v.array(service), v.minLength(1), v.description("Services and their limits.")),
    shiftCaps: v.pipe(
        v.array(shiftCap),
        v.description(
            "Caps on shifted traffic. No traffic is shifted between a pair of regions without a cap.",
        ),
    ),
    drains: v.pipe(v.array(drain), v.description("Sites and regions that are taken out of service.")),
    clientBlocks: v.pipe(v.array(clientBlock), v.description("Home regions of client address blocks.")),
    defaultRegion: name("Home region of clients that no block matches."),
    lookup: v.strictObject({
        ttlSeconds: count("Time for which callers may cache a lookup response, in seconds.", maxSeconds),
    }),
    claims: v.strictObject({
        shards: count(
            "Number of shards that the claims of non-idempotent requests are distributed over.",
            4096,
        ),
        maxWritesPerSecond: count("Maximum store writes per second, all shards together.", 100_000),
        retentionSeconds: count(
            "Time for which the outcome of an idempotency key is kept, in seconds.",
            maxSeconds,
        ),
        maxOutcomeBytes: count(
            "Maximum size of a response body that is kept for retries, in bytes.",
            maxObjectBytes,
            0,
        ),
    }),
    quarantine: v.strictObject({
        crashLimit: count(
            "Number of backend servers that a request may crash before it is quarantined.",
            1000,
        ),
        quarantineSeconds: count("Time for which a quarantined request is rejected, in seconds.", maxSeconds),
    }),
    shutdown: v.strictObject({
        maxWaitSeconds: count(
            "Maximum time for which a stopping entry waits for requests in flight, in seconds.",
            maxSeconds,
        ),
    }),
});

type SchemaOutput = v.InferOutput<typeof manifestSchema>;
// Two deferred conditional types are assignable only if A and B are identical, optional properties included.
type IsSame<A, B> = (<T>() => T extends A ? 1 : 2) extends <T>() => T extends B ? 1 : 2 ? true : false;

/** Fails to compile if the schema and the `Manifest` type differ. */
export const schemaMatchesType: IsSame<SchemaOutput, Manifest> = true;
