/**
 * Simulated caller that follows the protocol: it looks up entries, caches them for the TTL of the lookup response, and
 * retries according to the reported outcome.
 */
import { Agent, request } from "undici";
import type { Dispatcher } from "undici";
import { Outcome, idempotencyKeyHeader, outcomeHeader, reasonHeader, toError } from "@waxwingdale/core";
import type { Clock, LookupResponse, Random } from "@waxwingdale/core";
import { createPattern, createPatternChecker, nonceHeader } from "../backend-server/index.js";
import type { LoadRequest } from "./workload.js";

export enum CallResult {
    Answered = "answered",
    NotRun = "not-run",
    Unknown = "unknown",
    /** The response was complete, but its content does not belong to this request. */
    Wrong = "wrong",
}

export interface CallReport {
    result: CallResult;
    reason: string;
    /** Number of attempts. */
    attempts: number;
    ms: number;
    key: string | undefined;
    /** Whether the response was replayed from an earlier attempt with the same key. */
    replayed: boolean;
}

export interface CallerOptions {
    clock: Clock;
    random: Random;
    /** Addresses of the entries for the initial lookup. */
    entries: readonly string[];
    /** Client address that is passed in lookups, such as 10.1.0.7. */
    client: string;
    /**
     * Milliseconds after which a request is not retried any more.
     * @default 15_000
     */
    requestTimeoutMs?: number;
    dispatcher: Dispatcher;
}

export interface Caller {
    call(loadRequest: LoadRequest): Promise<CallReport>;
}

interface Attempt {
    result: CallResult;
    reason: string;
    replayed: boolean;
    retryAfterMs: number;
}

/** Timeout of a single attempt, in milliseconds. */
const attemptTimeoutMs = 10_000;
/** Mean delay before a retry, in milliseconds, unless the response has a longer Retry-After. */
const retryDelayMs = 100;

/** Creates an HTTP agent that callers share. A loopback address as `localAddress` simulates a block of clients. */
export function createCallerAgent(localAddress?: string): Agent {
    return new Agent({
        connections: 128,
        pipelining: 1,
        connect: { timeout: 1000 },
        // undici ignores a local address in the options of "connect".
        localAddress,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}

/** Creates a caller with its own lookup cache. */
export function createCaller(options: CallerOptions): Caller {
    const { clock, random, dispatcher } = options;
    const requestTimeoutMs = options.requestTimeoutMs ?? 15_000;
    const cache = new Map<string, { addresses: string[]; expiresAt: number }>();
    let keyCount = 0;

    const resolveAddresses = async (service: string): Promise<string[]> => {
        const cached = cache.get(service);
        if (cached !== undefined && cached.expiresAt > clock.now()) {
            return cached.addresses;
        }
        const first = Math.floor(random() * options.entries.length);
        const order = [...options.entries.slice(first), ...options.entries.slice(0, first)];
        for (const address of [...(cached?.addresses ?? []), ...order]) {
            const found = await fetchEntries(address, service);
            if (found !== undefined) {
                cache.set(service, found);
                return found.addresses;
            }
        }
        return cached?.addresses ?? order;
    };

    const fetchEntries = async (address: string, service: string) => {
        try {
            const res = await request(
                `http://${address}/v1/lookup?service=${service}&client=${options.client}`,
                { dispatcher, signal: AbortSignal.timeout(1000) },
            );
            if (res.statusCode !== 200) {
                await res.body.dump();
                return undefined;
            }
            const found = (await res.body.json()) as LookupResponse;
            const addresses = found.entries.map(entry => entry.address);
            return addresses.length === 0
                ? undefined
                : { addresses, expiresAt: clock.now() + found.ttlSeconds * 1000 };
        } catch {
            return undefined;
        }
    };

    const createKey = () => `${options.client}-${Math.floor(random() * 2 ** 30).toString(36)}-${keyCount++}`;

    const call = async (loadRequest: LoadRequest): Promise<CallReport> => {
        const startedAt = clock.now();
        const key = loadRequest.idempotent ? undefined : createKey();
        const nonce = createKey();
        let last: Attempt | undefined;
        let attempts = 0;
        let mayHaveRun = false;
        while (clock.now() - startedAt < requestTimeoutMs) {
            const addresses = await resolveAddresses(loadRequest.service);
            const address = addresses[attempts % addresses.length]!;
            attempts++;
            last = await attempt(address, loadRequest, key, nonce);
            if (last.result === CallResult.Answered || last.result === CallResult.Wrong) {
                break;
            }
            mayHaveRun ||= last.result === CallResult.Unknown;
            if (last.reason === "quarantined" || last.reason === "entry-lost") {
                break;
            }
            await clock.sleep(Math.max(retryDelayMs, last.retryAfterMs) * (0.5 + random()));
        }
        const result = last!.result === CallResult.NotRun && mayHaveRun ? CallResult.Unknown : last!.result;
        return {
            result,
            reason: last!.reason,
            attempts,
            ms: clock.now() - startedAt,
            key,
            replayed: last!.replayed,
        };
    };

    const attempt = async (
        address: string,
        loadRequest: LoadRequest,
        key: string | undefined,
        nonce: string,
    ): Promise<Attempt> => {
        const headers: Record<string, string> = { [nonceHeader]: nonce };
        if (key !== undefined) {
            headers[idempotencyKeyHeader] = key;
        }
        if (loadRequest.uploadBytes > 0) {
            headers["content-length"] = String(loadRequest.uploadBytes);
        }
        try {
            const res = await request(`http://${address}/${loadRequest.service}${loadRequest.path}`, {
                method: loadRequest.method,
                headers,
                body:
                    loadRequest.uploadBytes > 0
                        ? Buffer.concat([...createPattern(loadRequest.uploadBytes)])
                        : undefined,
                dispatcher,
                signal: AbortSignal.timeout(attemptTimeoutMs),
            });
            return await readResponse(res, loadRequest, nonce);
        } catch (err) {
            const code = (err as NodeJS.ErrnoException).code ?? toError(err)?.name ?? "error";
            const refused = code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
            return {
                result: refused ? CallResult.NotRun : CallResult.Unknown,
                reason: code,
                replayed: false,
                retryAfterMs: 0,
            };
        }
    };

    return { call };
}

async function readResponse(
    res: Dispatcher.ResponseData,
    loadRequest: LoadRequest,
    nonce: string,
): Promise<Attempt> {
    const outcome = res.headers[outcomeHeader];
    const reason = String(res.headers[reasonHeader] ?? `status-${res.statusCode}`);
    const retryAfterMs = 1000 * Number(res.headers["retry-after"] ?? 0);
    if (outcome !== Outcome.Ran || res.statusCode !== 200) {
        await res.body.dump();
        return {
            result: outcome === Outcome.NotRun ? CallResult.NotRun : CallResult.Unknown,
            reason,
            replayed: false,
            retryAfterMs,
        };
    }
    const correct =
        loadRequest.downloadBytes > 0
            ? await checkDownload(res, loadRequest.downloadBytes)
            : await checkJsonResponse(res, loadRequest, nonce);
    return {
        result: correct ? CallResult.Answered : CallResult.Wrong,
        reason: "",
        replayed: reason === "replayed",
        retryAfterMs,
    };
}

async function checkDownload(res: Dispatcher.ResponseData, bytes: number): Promise<boolean> {
    const checker = createPatternChecker();
    for await (const chunk of res.body) {
        checker.add(chunk as Buffer);
    }
    const { length, correct } = checker.result();
    return correct && length === bytes;
}

async function checkJsonResponse(
    res: Dispatcher.ResponseData,
    loadRequest: LoadRequest,
    nonce: string,
): Promise<boolean> {
    const body = (await res.body.json()) as { nonce: string; received: number; correct: boolean };
    return body.nonce === nonce && body.received === loadRequest.uploadBytes && body.correct;
}
