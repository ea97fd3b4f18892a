/** Records of recent requests, for operators and traces. */
import type { Outcome, ReasonCode, RequestClass, SteeringReason } from "@waxwingdale/core";

/** One attempt of a request. */
export interface AttemptRecord {
    /** Id of the backend server or the entry that the request was sent to. */
    target: string;
    region: string;
    /** Time from the start of the request until the target was chosen, in milliseconds. */
    waitedMs: number;
    /** Time from the choice of the target to the end of the attempt, in milliseconds. */
    ms: number;
    result: string;
}

/** A request that this entry handled. */
export interface RequestRecord {
    id: string;
    startedAt: string;
    client: string;
    service: string;
    route: string;
    requestClass: RequestClass;
    /** Home region of the caller's address block. */
    home: string;
    region: string;
    regionReason: SteeringReason | undefined;
    attempts: AttemptRecord[];
    status: number;
    outcome: Outcome;
    reason: ReasonCode | undefined;
    totalMs: number;
    /** Size of the request body. For a streamed chunked body, only the buffered bytes. */
    requestBytes: number;
    responseBytes: number;
}

export interface RequestRecords {
    add(record: RequestRecord): void;
    find(id: string): RequestRecord | undefined;
    /** Returns the latest records of a client address, newest first. */
    findByClient(client: string, limit: number): RequestRecord[];
    /** Returns the latest records, newest first. */
    latest(limit: number): RequestRecord[];
}

/** Creates a ring buffer of the last `capacity` records. */
export function createRequestRecords(capacity: number): RequestRecords {
    const ring: RequestRecord[] = [];
    const byId = new Map<string, RequestRecord>();
    let next = 0;

    const newestFirst = function* () {
        for (let i = 1; i <= ring.length; i++) {
            yield ring[(next - i + ring.length) % ring.length]!;
        }
    };

    const take = (limit: number, matches: (record: RequestRecord) => boolean) => {
        const found: RequestRecord[] = [];
        for (const record of newestFirst()) {
            if (found.length === limit) {
                break;
            }
            if (matches(record)) {
                found.push(record);
            }
        }
        return found;
    };

    return {
        add: record => {
            const old = ring[next];
            if (old !== undefined) {
                byId.delete(old.id);
            }
            ring[next] = record;
            byId.set(record.id, record);
            next = (next + 1) % capacity;
        },
        find: id => byId.get(id),
        findByClient: (client, limit) => take(limit, record => record.client === client),
        latest: limit => take(limit, () => true),
    };
}
