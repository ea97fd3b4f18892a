/** A caller as the system expects one: asks which entry to use, keeps the answer for its lifetime, and follows outcomes. */
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
    /** The answer was complete and its content was not that of this request. */
    Wrong = "wrong",
}

export interface CallReport {
    result: CallResult;
    reason: string;
    /** Attempts that the caller made. */
    attempts: number;
    ms: number;
    key: string | undefined;
    /** The answer came from the record of an earlier attempt of the key. */
    replayed: boolean;
}

export interface CallerOptions {
    clock: Clock;
    random: Random;
    /** Entry addresses to ask first. */
    entries: readonly string[];
    /** Address that look-ups are made for, such as 10.1.0.7. */
    client: string;
    /**
     * Time in milliseconds after which the caller gives up.
     * @default 15_000
     */
    patienceMs?: number;
    dispatcher: Dispatcher;
}

export interface Caller {
    call(wanted: LoadRequest): Promise<CallReport>;
}

interface Attempt {
    result: CallResult;
    reason: string;
    replayed: boolean;
    retryAfterMs: number;
}

/** Time in milliseconds that one attempt may take. */
const attemptTimeoutMs = 10_000;
/** Pause in milliseconds before a request is sent again. */
const retryPauseMs = 100;

/** Creates the connections that callers share. An address of the loopback network stands for a block of clients. */
export function createCallerAgent(localAddress?: string): Agent {
    return new Agent({
        connections: 128,
        pipelining: 1,
        connect: { timeout: 1000 },
        // In the options of "connect", undici ignores the local address.
        localAddress,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}

/** Creates one caller. */
export function createCaller(options: CallerOptions): Caller {
    const { clock, random, dispatcher } = options;
    const patienceMs = options.patienceMs ?? 15_000;
    const cache = new Map<string, { addresses: string[]; until: number }>();
    let count = 0;

    const findAddresses = async (service: string): Promise<string[]> => {
        const cached = cache.get(service);
        if (cached !== undefined && cached.until > clock.now()) {
            return cached.addresses;
        }
        const first = Math.floor(random() * options.entries.length);
        const order = [...options.entries.slice(first), ...options.entries.slice(0, first)];
        for (const address of [...(cached?.addresses ?? []), ...order]) {
            const found = await askEntry(address, service);
            if (found !== undefined) {
                cache.set(service, found);
                return found.addresses;
            }
        }
        return cached?.addresses ?? order;
    };

    const askEntry = async (address: string, service: string) => {
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
                : { addresses, until: clock.now() + found.ttlSeconds * 1000 };
        } catch {
            return undefined;
        }
    };

    const createKey = () => `${options.client}-${Math.floor(random() * 2 ** 30).toString(36)}-${count++}`;

    const call = async (wanted: LoadRequest): Promise<CallReport> => {
        const startedAt = clock.now();
        const key = wanted.idempotent ? undefined : createKey();
        const nonce = createKey();
        let last: Attempt | undefined;
        let attempts = 0;
        let mayHaveRun = false;
        while (clock.now() - startedAt < patienceMs) {
            const addresses = await findAddresses(wanted.service);
            const address = addresses[attempts % addresses.length]!;
            attempts++;
            last = await attempt(address, wanted, key, nonce);
            if (last.result === CallResult.Answered || last.result === CallResult.Wrong) {
                break;
            }
            mayHaveRun ||= last.result === CallResult.Unknown;
            if (last.reason === "quarantined" || last.reason === "entry-lost") {
                break;
            }
            await clock.sleep(Math.max(retryPauseMs, last.retryAfterMs) * (0.5 + random()));
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
        wanted: LoadRequest,
        key: string | undefined,
        nonce: string,
    ): Promise<Attempt> => {
        const headers: Record<string, string> = { [nonceHeader]: nonce };
        if (key !== undefined) {
            headers[idempotencyKeyHeader] = key;
        }
        if (wanted.uploadBytes > 0) {
            headers["content-length"] = String(wanted.uploadBytes);
        }
        try {
            const res = await request(`http://${address}/${wanted.service}${wanted.path}`, {
                method: wanted.method,
                headers,
                body:
                    wanted.uploadBytes > 0
                        ? Buffer.concat([...createPattern(wanted.uploadBytes)])
                        : undefined,
                dispatcher,
                signal: AbortSignal.timeout(attemptTimeoutMs),
            });
            return await readAnswer(res, wanted, nonce);
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

async function readAnswer(
    res: Dispatcher.ResponseData,
    wanted: LoadRequest,
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
        wanted.downloadBytes > 0
            ? await checkDownload(res, wanted.downloadBytes)
            : await checkSmall(res, wanted, nonce);
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

async function checkSmall(
    res: Dispatcher.ResponseData,
    wanted: LoadRequest,
    nonce: string,
): Promise<boolean> {
    const body = (await res.body.json()) as { nonce: string; received: number; correct: boolean };
    return body.nonce === nonce && body.received === wanted.uploadBytes && body.correct;
}
