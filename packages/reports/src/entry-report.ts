/** The report of one entry instance: result of the JSON-RPC method `steering.report`. */
import * as v from "valibot";

const amount = v.pipe(v.number(), v.minValue(0));

export const entryReportSchema = v.object({
    entry: v.string(),
    region: v.string(),
    /** Offered load by service and home region, as callers sent it to this entry. */
    demands: v.array(
        v.object({
            service: v.string(),
            home: v.string(),
            offeredPerSecond: amount,
            requestBytes: amount,
            responseBytes: amount,
        }),
    ),
    /** Backend servers of the entry's region by site. */
    capacities: v.array(
        v.object({
            service: v.string(),
            site: v.string(),
            warmServers: amount,
            coldServers: amount,
            meanServiceMs: amount,
        }),
    ),
    /** Age in milliseconds of the list behind the capacities. */
    listAgeMs: amount,
});

/** Params of `steering.report`. */
export const reportRequestSchema = v.object({
    /** Whether the capacities are wanted; all entries of a region would give the same ones. */
    capacities: v.boolean(),
});

/** Report of one entry. */
export type EntryReport = v.InferOutput<typeof entryReportSchema>;

export const reportMethod = "steering.report";
