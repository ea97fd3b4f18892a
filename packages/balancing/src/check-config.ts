/** Rules for a traffic configuration before it is activated. No message contains an API key. */
import { Severity } from "@waxwingdale/core";
import { RequestKind } from "./traffic-config.js";
import type { Route, Service, TrafficConfig, Workspace } from "./traffic-config.js";

/** Path in a `TrafficConfig`; routes, services and workspaces are identified by name. */
export type ConfigPath = readonly (string | number)[];

export interface ConfigProblem {
    severity: Severity;
    path: ConfigPath;
    message: string;
}

export interface ConfigCheckOptions {
    /** Length of the window in which quotas are measured. */
    quotaWindowSeconds: number;
}

/** Bracketed IPv6 addresses are the only hosts with a colon that remain after the port was removed. */
const ipv6Host = /^\[[0-9a-f:.]+\]$/;
const impossibleInHost = /[:/?#*\s]/;
const impossibleInPath = /[?#\s]/;
const msPerSecond = 1000;

/** A rule that was evaluated: whether it is violated, the field, and the message. */
type Rule = [isViolated: boolean, field: string | undefined, message: string];

/** Returns all errors for which instances reject the configuration. */
export function findConfigErrors({ routes, services, workspaces = [] }: TrafficConfig): ConfigProblem[] {
    const names = new Set(services.map(({ name }) => name));
    const unknown = routes.flatMap(({ name, shares }) =>
        shares
            .map(({ service }, i) => ({
                severity: Severity.Error,
                path: ["routes", name, "shares", i],
                message: `route ${name} names the unknown service ${service}`,
            }))
            .filter((_, i) => !names.has(shares[i]!.service)),
    );
    return [...unknown, ...findSharedKeys(workspaces)];
}

/** A key that two workspaces hold would not tell whose request it is. */
function findSharedKeys(workspaces: readonly Workspace[]): ConfigProblem[] {
    const holders = new Map<string, string>();
    const problems: ConfigProblem[] = [];
    for (const { name, apiKeys } of workspaces) {
        for (const [i, apiKey] of apiKeys.entries()) {
            const holder = holders.get(apiKey) ?? name;
            holders.set(apiKey, holder);
            if (holder !== name) {
                const message = `workspaces ${holder} and ${name} hold the same key`;
                problems.push({
                    severity: Severity.Error,
                    path: ["workspaces", name, "apiKeys", i],
                    message,
                });
            }
        }
    }
    return problems;
}

/** Returns the entries that can never be used and the limits that contradict each other. */
export function findConfigWarnings(config: TrafficConfig, options: ConfigCheckOptions): ConfigProblem[] {
    const { routes, services, workspaces = [] } = config;
    const isUnreachable = config.workspaces?.length === 0 && routes.some(({ isPublic }) => !isPublic);
    const used = new Set(routes.flatMap(({ shares }) => shares.map(({ service }) => service)));
    return [
        ...routes.flatMap((route, i) => checkRoute(route, routes.slice(0, i))),
        ...services.flatMap(service => checkService(service, used.has(service.name))),
        ...createWarnings([], [[isUnreachable, "workspaces", "no key exists for the routes that need one"]]),
        ...workspaces.flatMap(workspace => checkWorkspace(workspace, routes, options)),
        ...checkCallerLimits(config),
    ];
}

/** The route index takes the first of several routes with the same host and prefix. */
function checkRoute(route: Route, earlier: readonly Route[]): ConfigProblem[] {
    const { host, pathPrefix, timeoutMs, targetLatencyMs } = route;
    const other = earlier.find(other => other.host === host && other.pathPrefix === pathPrefix);
    const isImpossibleHost = impossibleInHost.test(host) && !ipv6Host.test(host);
    const isImpossiblePath = !pathPrefix.startsWith("/") || impossibleInPath.test(pathPrefix);
    const path = ["routes", route.name];
    return [
        ...createWarnings(path, [
            [!!other, undefined, `never matches: route ${other?.name} has the same host and prefix`],
            [isImpossibleHost, "host", "never matches: a host has no port, path, space or wildcard"],
            [
                isImpossiblePath,
                "pathPrefix",
                "never matches: a path begins with a slash and has no query or space",
            ],
            [!pathPrefix.endsWith("/"), "pathPrefix", "must end with a slash to match only whole names"],
            [timeoutMs < 1, "timeoutMs", "no request can be answered in time"],
            [
                targetLatencyMs > timeoutMs,
                "targetLatencyMs",
                `${targetLatencyMs / msPerSecond} s exceed the timeout of ${timeoutMs / msPerSecond} s`,
            ],
        ]),
        ...checkShares(route.shares, [...path, "shares"]),
    ];
}

function checkShares(shares: Route["shares"], path: ConfigPath): ConfigProblem[] {
    if (shares.every(({ weight }) => weight === 0)) {
        const first = shares[0]?.service;
        return createWarnings(path, [
            [first === undefined, undefined, "the route names no service"],
            [first !== undefined, undefined, `all weights are 0, so service ${first} receives all requests`],
        ]);
    }
    return shares.flatMap(({ service, weight }, i) =>
        createWarnings([...path, i], [[weight === 0, undefined, `service ${service} receives no requests`]]),
    );
}

function checkService(service: Service, isUsed: boolean): ConfigProblem[] {
    const isStarved = service.coldStartMs > 0 && service.coldRequestsPerSecond === 0;
    return createWarnings(
        ["services", service.name],
        [
            [!isUsed, undefined, "no route names this service"],
            [isStarved, "coldRequestsPerSecond", "a cold server receives only the slack of the settings"],
        ],
    );
}

function checkWorkspace(
    { name, apiKeys, requestsPerSecond, burst, allowedRegions }: Workspace,
    routes: readonly Route[],
    { quotaWindowSeconds }: ConfigCheckOptions,
): ConfigProblem[] {
    const isDisjoint = ({ allowedRegions: others }: Route) =>
        others.length > 0 &&
        allowedRegions.length > 0 &&
        !others.some(region => allowedRegions.includes(region));
    const excluded = routes.filter(isDisjoint).map(route => route.name);
    const isTooLow = requestsPerSecond > 0 && requestsPerSecond * quotaWindowSeconds + burst < 1;
    const seen = new Set<string>();
    const repeated = apiKeys.flatMap((apiKey, i) => {
        const rule: Rule = [seen.has(apiKey), undefined, "repeats an earlier key of the workspace"];
        seen.add(apiKey);
        return createWarnings(["workspaces", name, "apiKeys", i], [rule]);
    });
    const rules: Rule[] = [
        [apiKeys.length === 0, "apiKeys", "the workspace has no keys, so it has no requests"],
        [requestsPerSecond === 0 && burst > 0, "burst", "has no effect without a rate"],
        [
            isTooLow,
            "requestsPerSecond",
            `one request exceeds the quota of a window of ${quotaWindowSeconds} s`,
        ],
        [
            excluded.length > 0,
            "allowedRegions",
            `no region in common with these routes: ${excluded.join(", ")}`,
        ],
    ];
    return [...repeated, ...createWarnings(["workspaces", name], rules)];
}

function checkCallerLimits({ limits, routes }: TrafficConfig): ConfigProblem[] {
    const headBytes = Math.max(0, ...routes.map(getSmallestHeadBytes));
    const mayHaveBodies = routes.some(({ kind }) => kind === RequestKind.NonIdempotent);
    return createWarnings(
        ["limits"],
        [
            [
                limits.headerBytes < headBytes,
                "headerBytes",
                `the headers of some route need ${headBytes} bytes`,
            ],
            [limits.bodyBytes < 1 && mayHaveBodies, "bodyBytes", "rejects every request that has a body"],
            [limits.headerTimeoutMs < 1, "headerTimeoutMs", "leaves callers no time for the headers"],
            [limits.idleTimeoutMs < 1, "idleTimeoutMs", "closes connections between two requests"],
        ],
    );
}

function getSmallestHeadBytes({ host, pathPrefix }: Route): number {
    return Buffer.byteLength(`GET ${pathPrefix} HTTP/1.1\r\nHost: ${host}\r\n\r\n`);
}

function createWarnings(path: ConfigPath, rules: readonly Rule[]): ConfigProblem[] {
    return rules
        .filter(([isViolated]) => isViolated)
        .map(([, field, message]) => ({
            severity: Severity.Warning,
            path: field === undefined ? path : [...path, field],
            message,
        }));
}
