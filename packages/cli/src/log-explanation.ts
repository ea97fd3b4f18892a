/** Explains a request from the log lines of gateway instances: its outcome and the state that the instance had seen. */
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

/** What the log lines say about one request of a caller. */
export interface RequestExplanation {
    request: LogLine;
    /** Meaning of the event that ended the request. */
    cause: string;
    /** Line about the active configuration, if there is one. */
    config: LogLine | undefined;
    /** Lines about dependencies that were unavailable at that time. */
    lost: LogLine[];
    /** Lines about responses on its connections that were not taken for its own. */
    skipped: LogLine[];
    /** The last line before the request about each server that it was sent to. */
    servers: LogLine[];
    /** Number of other requests of the instance that ended with the same event within a second before or after. */
    alike: number;
}

/** Events that end a request, and their meanings. Field names in braces are replaced by their values. */
const eventMeanings: Record<string, string> = {
    "request-answered": "A backend server responded with status {status} after {tookMs} ms.",
    "request-refused":
        "Rejected after {waitedMs} ms ({reason}). No backend server ran it: each attempt below, if any, was rejected.",
    "request-failed": "Failed with status {status}: {reason}. A backend server may have run it.",
    "request-timed-out":
        "No response within the deadline of {deadlineMs} ms, which the caller or the route sets.",
    "request-caller-left": "The caller disconnected after {tookMs} ms; the request was canceled.",
    "request-no-route": "Configuration version {config} has no route for its host and path.",
};

/** Meanings of the results of an attempt. */
const resultMeanings: [RegExp, string][] = [
    [/^status [234]/, "the server responded"],
    [/^status 5/, "the server ran the request and returned an error"],
    [/^not-run 421/, "the address now belongs to another server; the request did not run"],
    [/^not-run/, "the server had no capacity; the request did not run"],
    [/^stale/, "the pooled connection was closed before the request arrived"],
    [/^cut/, "the connection was lost before the response was complete"],
    [/^malformed/, "the server sent a malformed response"],
    [/^too-large/, "the response exceeds the size limit"],
    [/^not-connected/, "could not connect to the server"],
    [/^caller-left/, "canceled, since the caller disconnected"],
    [/^timed-out/, "the server did not respond before the deadline"],
];

/** Requests with the same event count as alike within this time of each other, in milliseconds. */
const alikeWindowMs = 1000;
const skippedEvent = "response-skipped";
/** Events that change the state of an instance; the lines of all events would not fit into memory. */
const stateEvents = /^(server-|document-|dependency-|zone-|store-|member-|started|stopping|view-from-peer)/;

/** Reads all lines and explains each request with the id, which a caller may have sent several times. */
export async function explainRequest(
    requestId: string,
    lines: AsyncIterable<string>,
): Promise<RequestExplanation[]> {
    const requests: LogLine[] = [];
    const stateLines: LogLine[] = [];
    const skipped: LogLine[] = [];
    /** Times at which requests ended, by instance and event. */
    const endTimes = new Map<string, number[]>();
    for await (const text of lines) {
        const line = parseLine(text);
        if (line === undefined) {
            continue;
        }
        if (stateEvents.test(line.event)) {
            stateLines.push(line);
        } else if (line.event === skippedEvent && line.fields.request === requestId) {
            skipped.push(line);
        } else if (line.event in eventMeanings) {
            const key = `${line.instance} ${line.event}`;
            const times = endTimes.get(key) ?? [];
            times.push(line.at);
            endTimes.set(key, times);
            if (line.fields.request === requestId) {
                requests.push(line);
            }
        }
    }
    stateLines.sort((a, b) => a.at - b.at);
    return requests.map(request => ({
        ...explain(request, stateLines, endTimes),
        skipped: skipped.filter(({ instance }) => instance === request.instance),
    }));
}

/** Parses a log line of a gateway; text before the field `time`, such as a log collector's prefix, is skipped. */
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
    stateLines: readonly LogLine[],
    endTimes: ReadonlyMap<string, number[]>,
): Omit<RequestExplanation, "skipped"> {
    const before = sinceProcessStart(
        stateLines.filter(({ instance, at }) => instance === request.instance && at <= request.at),
    );
    const serverIds = parseAttempts(request).map(({ server }) => server);
    const sameEventTimes = endTimes.get(`${request.instance} ${request.event}`) ?? [];
    return {
        request,
        cause: (eventMeanings[request.event] ?? "").replace(
            /\{(\w+)\}/g,
            (_, name: string) => request.fields[name] ?? "?",
        ),
        config: before.findLast(({ event }) => event === "document-applied"),
        lost: findUnavailable(before),
        servers: serverIds.flatMap(id => before.findLast(({ fields }) => fields.server === id) ?? []),
        alike: sameEventTimes.filter(at => Math.abs(at - request.at) <= alikeWindowMs).length - 1,
    };
}

/** Returns the lines of the process that handled the request, without those of an earlier one with the same name. */
function sinceProcessStart(before: readonly LogLine[]): readonly LogLine[] {
    return before.slice(
        Math.max(
            0,
            before.findLastIndex(({ event }) => event === "started"),
        ),
    );
}

function findUnavailable(before: readonly LogLine[]): LogLine[] {
    const unavailable = new Map<string, LogLine>();
    for (const line of before) {
        const key = `${line.fields.dependency} ${line.fields.prefix}`;
        if (line.event === "dependency-lost") {
            unavailable.set(key, line);
        } else if (line.event === "dependency-regained") {
            unavailable.delete(key);
        }
    }
    return [...unavailable.values()];
}

interface Attempt {
    server: string;
    result: string;
    meaning: string;
}

/** Parses the field `attempts`: server, result and times of each attempt. */
function parseAttempts({ fields }: LogLine): Attempt[] {
    return (fields.attempts ?? "")
        .split(";")
        .filter(text => text !== "")
        .map(text => {
            const [server = "", result = ""] = text.split(",", 2);
            const meaning =
                resultMeanings.find(([pattern]) => pattern.test(result))?.[1] ??
                "see the documentation of events";
            return { server, result: text.slice(server.length + 1), meaning };
        });
}

/** Formats an explanation as text. */
export function formatExplanation(explanation: RequestExplanation): string {
    const { request, cause, config, lost, skipped, servers, alike } = explanation;
    const attempts = parseAttempts(request);
    return [
        `${request.fields.request} at ${request.instance}, ${request.fields.time}`,
        cause,
        `Route ${request.fields.route}, service ${request.fields.service}, object ${request.fields.object ?? "none"}, ` +
            `configuration ${request.fields.config}. Other requests with the same event within a second: ${alike}.`,
        ...attempts.map(
            ({ server, result, meaning }, i) => `Attempt ${i + 1}: ${server}: ${meaning} (${result})`,
        ),
        ...skipped.map(line => `Skipped response: ${line.text}`),
        ...lost.map(line => `Unavailable at that time: ${line.text}`),
        ...(config === undefined ? [] : [`Configuration: ${config.text}`]),
        ...servers.map(line => `Server: ${line.text}`),
    ].join("\n");
}
