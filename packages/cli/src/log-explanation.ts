/** Explains a request from the log lines of the gateway instances: what became of it, and what the instance believed. */
import { parseFields } from "@waxwingdale/core";

/** One log line. */
export interface LogLine {
    /** Milliseconds since the epoch. */
    at: number;
    event: string;
    instance: string;
    fields: Record<string, string>;
    text: string;
}

/** What the lines tell of one attempt of a caller. */
export interface RequestExplanation {
    request: LogLine;
    /** What the outcome and the attempts mean. */
    cause: string;
    /** The configuration that the instance had applied, if its line is there. */
    config: LogLine | undefined;
    /** Dependencies that the instance had lost and not regained. */
    lost: LogLine[];
    /** The last lines before the request about each server that it was sent to. */
    servers: LogLine[];
    /** Other requests of the instance with the same event within a second before and after. */
    alike: number;
}

/** Events that end a request, and what each means. A field's name in braces stands for its value. */
const causes: Record<string, string> = {
    "request-answered": "A backend server answered with status {status} after {tookMs} ms.",
    "request-refused":
        "Refused after {waitedMs} ms ({reason}). No backend server has run it: each attempt below, if any, was turned away.",
    "request-failed": "Failed with status {status}: {reason}. A backend server may have run it.",
    "request-timed-out": "No answer within the {deadlineMs} ms that the caller or the route allows.",
    "request-caller-left": "The caller closed its connection after {tookMs} ms; the work was cancelled.",
    "request-no-route": "Version {config} of the configuration has no route for its host and path.",
};

/** What the result of an attempt means. */
const results: [RegExp, string][] = [
    [/^status [234]/, "the server answered"],
    [/^status 5/, "the server ran it and failed"],
    [/^not-run 421/, "another server has the address now; it has not run"],
    [/^not-run/, "the server had no room; it has not run"],
    [/^stale/, "the kept connection had been closed before the request arrived"],
    [/^cut/, "the server's answer broke off"],
    [/^malformed/, "the server's bytes were no answer"],
    [/^too-large/, "the server's answer is larger than an instance keeps"],
    [/^not-connected/, "the server could not be reached"],
    [/^caller-left/, "cancelled, since the caller had left"],
    [/^timed-out/, "the server was silent until the deadline"],
];

/** Time in milliseconds around a request in which others count as alike. */
const alikeMs = 1000;
/** Lines that change what an instance believes; kept lines of others would not fit into memory. */
const beliefEvents = /^(server-|document-|dependency-|zone-|store-|member-|started|stopping|view-from-peer)/;

/** Reads all lines and explains each attempt with the id. */
export async function explainRequest(
    requestId: string,
    lines: AsyncIterable<string>,
): Promise<RequestExplanation[]> {
    const requests: LogLine[] = [];
    const beliefs: LogLine[] = [];
    /** Times of the requests that ended with each event, by instance and event. */
    const ends = new Map<string, number[]>();
    for await (const text of lines) {
        const line = parseLine(text);
        if (line === undefined) {
            continue;
        }
        if (beliefEvents.test(line.event)) {
            beliefs.push(line);
        } else if (line.event in causes) {
            const key = `${line.instance} ${line.event}`;
            const times = ends.get(key) ?? [];
            times.push(line.at);
            ends.set(key, times);
            if (line.fields.request === requestId) {
                requests.push(line);
            }
        }
    }
    beliefs.sort((a, b) => a.at - b.at);
    return requests.map(request => explain(request, beliefs, ends));
}

/** Reads a line of a gateway; text before the field `time`, as log collectors add it, is skipped. */
function parseLine(text: string): LogLine | undefined {
    const start = text.indexOf("time=");
    const fields = start < 0 ? {} : parseFields(text.slice(start));
    const { time, event, instance } = fields;
    const at = Date.parse(time ?? "");
    return Number.isNaN(at) || event === undefined || instance === undefined
        ? undefined
        : { at, event, instance, fields, text: text.slice(start) };
}

function explain(
    request: LogLine,
    beliefs: readonly LogLine[],
    ends: ReadonlyMap<string, number[]>,
): RequestExplanation {
    const before = sinceStart(
        beliefs.filter(({ instance, at }) => instance === request.instance && at <= request.at),
    );
    const tried = listAttempts(request).map(({ server }) => server);
    const sameEnds = ends.get(`${request.instance} ${request.event}`) ?? [];
    return {
        request,
        cause: (causes[request.event] ?? "").replace(
            /\{(\w+)\}/g,
            (_, name: string) => request.fields[name] ?? "?",
        ),
        config: before.findLast(({ event }) => event === "document-applied"),
        lost: findLost(before),
        servers: tried.flatMap(id => before.findLast(({ fields }) => fields.server === id) ?? []),
        alike: sameEnds.filter(at => Math.abs(at - request.at) <= alikeMs).length - 1,
    };
}

/** The lines of the process that carried the request: an earlier one with the same name has left nothing. */
function sinceStart(before: readonly LogLine[]): readonly LogLine[] {
    return before.slice(
        Math.max(
            0,
            before.findLastIndex(({ event }) => event === "started"),
        ),
    );
}

function findLost(before: readonly LogLine[]): LogLine[] {
    const lost = new Map<string, LogLine>();
    for (const line of before) {
        const key = `${line.fields.dependency} ${line.fields.prefix}`;
        if (line.event === "dependency-lost") {
            lost.set(key, line);
        } else if (line.event === "dependency-regained") {
            lost.delete(key);
        }
    }
    return [...lost.values()];
}

interface Attempt {
    server: string;
    result: string;
    meaning: string;
}

/** Reads the field `attempts`: server, result and times of each send. */
function listAttempts({ fields }: LogLine): Attempt[] {
    return (fields.attempts ?? "")
        .split(";")
        .filter(text => text !== "")
        .map(text => {
            const [server = "", result = ""] = text.split(",", 2);
            const meaning = results.find(([pattern]) => pattern.test(result))?.[1] ?? "see the events' page";
            return { server, result: text.slice(server.length + 1), meaning };
        });
}

/** Formats an explanation for a person. */
export function formatExplanation(explanation: RequestExplanation): string {
    const { request, cause, config, lost, servers, alike } = explanation;
    const attempts = listAttempts(request);
    return [
        `${request.fields.request} at ${request.instance}, ${request.fields.time}`,
        cause,
        `Route ${request.fields.route}, service ${request.fields.service}, object ${request.fields.object ?? "none"}, ` +
            `configuration ${request.fields.config}. Others that ended alike within a second: ${alike}.`,
        ...attempts.map(
            ({ server, result, meaning }, i) => `Attempt ${i + 1}: ${server}: ${meaning} (${result})`,
        ),
        ...lost.map(line => `Lost at that time: ${line.text}`),
        ...(config === undefined ? [] : [`Configuration: ${config.text}`]),
        ...servers.map(line => `Server: ${line.text}`),
    ].join("\n");
}
