/** Report of an entry instance: the result of the JSON-RPC method `steering.report`. */
import * as v from "valibot";

const amount = v.pipe(v.number(), v.minValue(0));

export const entryReportSchema = v.object({
    entry: v.string(),
    region: v.string(),
    /** Load that callers offer to this entry, by service and home region. */
    demands: v.array(
        v.object({
            service: v.string(),
            home: v.string(),
            offeredPerSecond: amount,
            requestBytes: amount,
            responseBytes: amount,
        }),
    ),
    /** Backend servers of the entry's region, by service and site. */
    capacities: v.array(
        v.object({
            service: v.string(),
            site: v.string(),
            warmServers: amount,
            coldServers: amount,
            meanServiceMs: amount,
        }),
    ),
    /** Age of the instance list that the capacities are computed from, in milliseconds. */
    listAgeMs: amount,
});

/** Params of `steering.report`. */
export const reportRequestSchema = v.object({
    /** Whether to include the capacities. All entries of a region would report the same ones. */
    capacities: v.boolean(),
});

export type EntryReport = v.InferOutput<typeof entryReportSchema>;

export const reportMethod = "steering.report";
