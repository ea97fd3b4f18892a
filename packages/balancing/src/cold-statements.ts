/**
 * What the entries of one server process have stated about the time for which it is cold. An entry holds the time that was
 * left when it was written, so what is read again, after the store has come back from an older copy, must be told from what
 * the server states anew.
 */

export interface ColdStatement {
    /** Number that the process increments with each entry, if the entry had one. */
    sequence?: number | undefined;
    /** Time in milliseconds that was left when the statement was made. */
    remainingMs: number;
}

/** How old an entry may be that has just been read. */
export enum EntryOrigin {
    /** The server has just written it, or this instance reads the store for the first time. */
    Written = "written",
    /** The store has come back from an older copy and this is its first list: any earlier entry of the process. */
    OlderCopy = "older-copy",
    /** The store has come back a moment ago: the server may only repeat its latest entry. */
    Rewritten = "rewritten",
}

/** A statement with its age, as it goes to other instances. */
export interface ColdReport extends ColdStatement {
    /** Time in milliseconds since it was first read. */
    ageMs: number;
}

export interface ColdStatements {
    /**
     * Records what an entry states that was read at the clock time `now`. Returns the clock time until which the server is
     * cold by it, which lies in the past for a statement that was only repeated.
     */
    record(statement: ColdStatement, now: number, origin: EntryOrigin): number;
    /** Records a statement that a peer has read. Returns the clock time until which the server is cold by it. */
    merge(report: ColdReport, now: number): number;
    /** Returns the statement by which the server is cold for the longest time, or undefined if none makes it cold now. */
    current(now: number): ColdReport | undefined;
}

/** Statements that are kept of a process: more than it makes in the seconds that an older copy lacks. */
const maxStatements = 16;

interface KnownStatement extends ColdStatement {
    statedAt: number;
}

export function createColdStatements(): ColdStatements {
    /** In the order in which they were made. */
    const known: KnownStatement[] = [];

    const add = (statement: KnownStatement) => {
        const index = known.findLastIndex(other => other.statedAt <= statement.statedAt);
        known.splice(index + 1, 0, statement);
        known.splice(0, known.length - maxStatements);
    };

    /** Returns the known statement that an entry repeats, if it does. */
    const findRepeated = (statement: ColdStatement, origin: EntryOrigin): KnownStatement | undefined => {
        switch (origin) {
            case EntryOrigin.Written:
                return undefined;
            case EntryOrigin.OlderCopy:
                return known.findLast(other => isSame(other, statement));
            case EntryOrigin.Rewritten:
                return known.slice(-1).find(other => isSame(other, statement));
        }
    };

    /** Whether the process has made a later statement, which this instance has read. */
    const isOutdated = ({ sequence }: ColdStatement): boolean =>
        sequence !== undefined && known.some(other => (other.sequence ?? -Infinity) > sequence);

    return {
        record: ({ sequence, remainingMs }, now, origin) => {
            const statement = { sequence, remainingMs };
            const repeated = findRepeated(statement, origin);
            if (repeated !== undefined) {
                return getEnd(repeated);
            }
            if (origin !== EntryOrigin.Written && isOutdated(statement)) {
                return -Infinity;
            }
            add({ ...statement, statedAt: now });
            return now + remainingMs;
        },
        merge: ({ sequence, remainingMs, ageMs }, now) => {
            const statement = { sequence, remainingMs, statedAt: now - ageMs };
            const same = known.findLast(other => isSame(other, statement));
            if (same === undefined) {
                add(statement);
            }
            return getEnd(same ?? statement);
        },
        current: now => {
            const longest = known.reduce<KnownStatement | undefined>(
                (last, next) => (last === undefined || getEnd(next) >= getEnd(last) ? next : last),
                undefined,
            );
            if (longest === undefined || getEnd(longest) <= now) {
                return undefined;
            }
            const { sequence, remainingMs, statedAt } = longest;
            return { sequence, remainingMs, ageMs: now - statedAt };
        },
    };
}

function isSame(a: ColdStatement, b: ColdStatement): boolean {
    return a.sequence === b.sequence && a.remainingMs === b.remainingMs;
}

/** Returns the clock time at which the server ceases to be cold by the statement. */
function getEnd({ statedAt, remainingMs }: KnownStatement): number {
    return statedAt + remainingMs;
}
