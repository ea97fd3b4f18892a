/** Log of one line of key=value pairs for each event, with a rate limit for each event name. */
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
    /** Fields that every line carries, such as the id of the process. */
    base?: LogFields;
    /**
     * Lines that one event name may write each second. The first line of the next second gives the number left out.
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

/** Creates a logger. A flood of one event cannot fill the output, since each event name has its own budget. */
export function createLogger(clock: Clock, options: LoggerOptions = {}): Logger {
    const maxLinesPerSecond = options.maxLinesPerSecond ?? 50;
    const backend = log.getLogger(Symbol("waxwingdale"));
    backend.setLevel(options.level ?? LogLevel.Info, false);
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
        if (backend.getLevel() > log.levels[level.toUpperCase() as keyof typeof log.levels]) {
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

/** Creates a logger that writes nothing. */
export function createSilentLogger(): Logger {
    const skip = () => undefined;
    return { debug: skip, info: skip, warn: skip, error: skip };
}

/** Formats fields as key=value pairs. A value with spaces, quotes, equals signs or control characters is quoted. */
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

/** Key, and a value as it stands or as a JSON string. */
const fieldPattern = /([^\s=]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)/g;

/** Reads the fields of a line that `formatFields` wrote. What is not a field is skipped. */
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
