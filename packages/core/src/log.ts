/** Structured logger: one line of key=value pairs per event, with a rate limit per event name. */
import log from "loglevel";
import type { Clock } from "./clock.js";

export type LogFields = Record<string, string | number | boolean | undefined>;

export enum LogLevel {
    Debug = "debug",
    Info = "info",
    Warn = "warn",
    Error = "error",
}

export interface Logger {
    debug(event: string, fields?: LogFields): void;
    info(event: string, fields?: LogFields): void;
    warn(event: string, fields?: LogFields): void;
    error(event: string, fields?: LogFields): void;
}

export interface LoggerOptions {
    /** @default LogLevel.Info */
    level?: LogLevel;
    /** Fields added to every line, such as the id of the process. */
    base?: LogFields;
    /**
     * Maximum number of lines per second for each event name. The next line of the event reports how many were
     * suppressed.
     * @default 50
     */
    maxLinesPerSecond?: number;
    /** @default writes to standard output */
    write?: (line: string) => void;
}

interface EventBudget {
    second: number;
    lines: number;
    suppressed: number;
}

/** Creates a logger. Each event name has its own rate limit, so that a flood of one event does not fill the log. */
export function createLogger(clock: Clock, options: LoggerOptions = {}): Logger {
    const maxLinesPerSecond = options.maxLinesPerSecond ?? 50;
    const levelLogger = log.getLogger(Symbol("waxwingdale"));
    levelLogger.setLevel(options.level ?? LogLevel.Info, false);
    const budgets = new Map<string, EventBudget>();
    const write = options.write ?? ((line: string) => void process.stdout.write(`${line}\n`));

    const takeBudget = (event: string): number | undefined => {
        const second = Math.floor(clock.now() / 1000);
        let budget = budgets.get(event);
        if (budget === undefined) {
            budget = { second, lines: 0, suppressed: 0 };
            budgets.set(event, budget);
        }
        if (budget.second !== second) {
            budget.second = second;
            budget.lines = 0;
        }
        if (budget.lines >= maxLinesPerSecond) {
            budget.suppressed++;
            return undefined;
        }
        budget.lines++;
        const suppressed = budget.suppressed;
        budget.suppressed = 0;
        return suppressed;
    };

    const emit = (level: LogLevel, event: string, fields: LogFields) => {
        if (levelLogger.getLevel() > log.levels[level.toUpperCase() as keyof typeof log.levels]) {
            return;
        }
        const suppressed = takeBudget(event);
        if (suppressed === undefined) {
            return;
        }
        const time = new Date(clock.wallTime()).toISOString();
        const all = { time, level, event, ...options.base, ...fields, suppressed: suppressed || undefined };
        write(formatFields(all));
    };

    return {
        debug: (event, fields = {}) => emit(LogLevel.Debug, event, fields),
        info: (event, fields = {}) => emit(LogLevel.Info, event, fields),
        warn: (event, fields = {}) => emit(LogLevel.Warn, event, fields),
        error: (event, fields = {}) => emit(LogLevel.Error, event, fields),
    };
}

/** Creates a logger that discards everything. */
export function createSilentLogger(): Logger {
    const skip = () => undefined;
    return { debug: skip, info: skip, warn: skip, error: skip };
}

/** Formats fields as key=value pairs. Values with spaces, quotes, equals signs or control characters are quoted. */
export function formatFields(fields: LogFields): string {
    return Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${formatValue(String(value))}`)
        .join(" ");
}

function formatValue(value: string): string {
    // eslint-disable-next-line no-control-regex -- a control character in a value could forge a second log line
    return /^[^\s"=\u0000-\u001f\u007f]+$/.test(value) ? value : JSON.stringify(value);
}

/** Matches a key with a plain value or a JSON string. */
const fieldPattern = /([^\s=]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)/g;

/** Parses the fields of a line written by `formatFields`. Anything else in the line is skipped. */
export function parseFields(line: string): Record<string, string> {
    const fields: Record<string, string> = {};
    for (const [, key, value] of line.matchAll(fieldPattern)) {
        fields[key!] = value!.startsWith('"') ? unquote(value!) : value!;
    }
    return fields;
}

function unquote(value: string): string {
    try {
        return JSON.parse(value) as string;
    } catch {
        return value;
    }
}
