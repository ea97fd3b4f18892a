/** Settings of a gateway instance: a JSON file with comments that the platform generates from a template. */
import { LogLevel, addressSchema, parseSettingsText, readSettingsText } from "@waxwingdale/core";
import * as v from "valibot";

const nonNegativeNumber = v.pipe(v.number("must be a number"), v.minValue(0, "must not be negative"));
/** Defaults of the optional bounds. */
export const defaultBounds = {
    configApplySeconds: 2.5,
    drainSeconds: 2.5,
    evacuateSeconds: 5,
    quotaWindowSeconds: 5,
    quotaOverage: 0,
    quotaSlack: 0,
};
const positiveNumber = v.pipe(v.number("must be a number"), v.gtValue(0, "must be greater than 0"));
const nonEmptyString = v.pipe(v.string("must be a string"), v.minLength(1, "must not be empty"));

const settingsSchema = v.object({
    /** Id of the instance, unique in the fleet. */
    id: nonEmptyString,
    region: nonEmptyString,
    zone: nonEmptyString,
    listen: v.object({
        callers: addressSchema,
        readiness: addressSchema,
        /** RPC between instances; also serves state and metrics. */
        peers: addressSchema,
        directory: addressSchema,
        /** Separate address for the metrics collector, if it does not use the peers' address. */
        metrics: v.optional(addressSchema),
    }),
    /** Peer addresses used to join the fleet. */
    seeds: v.optional(v.array(addressSchema), []),
    /** Region of each availability zone. */
    zones: v.record(nonEmptyString, nonEmptyString),
    /** Address of the platform's store. */
    store: addressSchema,
    logLevel: v.optional(v.enum(LogLevel, "must be debug, info, warn or error"), LogLevel.Info),
    /** Resources that are available to the instance. */
    machine: v.optional(
        v.object({
            cores: nonNegativeNumber,
            /** Fraction of the cores' time that the instance may use. */
            coreShare: nonNegativeNumber,
            /** Bandwidth of the network link in each direction. */
            linkMbps: nonNegativeNumber,
            /** Memory in megabytes above which the process is killed. */
            memoryMb: v.optional(positiveNumber),
        }),
    ),
    /** Bounds that the deployment declares. */
    bounds: v.object({
        /** Maximum time from SIGTERM until the process exits. */
        graceSeconds: nonNegativeNumber,
        /** Maximum time for which clients may cache a lookup response. */
        lookupTtlSeconds: nonNegativeNumber,
        /** Fleet-wide retry budget: retries per request in a window, plus a fixed number (slack) per window. */
        retryRatio: nonNegativeNumber,
        retryWindowSeconds: nonNegativeNumber,
        retrySlack: nonNegativeNumber,
        /** A cold server receives at most its declared rate times the factor, plus the slack, in any second. */
        coldFactor: nonNegativeNumber,
        coldSlack: nonNegativeNumber,
        /** Time from the acknowledgement of a configuration until it is active on all instances. */
        configApplySeconds: v.optional(positiveNumber, defaultBounds.configApplySeconds),
        /** Time from the acknowledgement of a server's drain or removal until it receives no more requests. */
        drainSeconds: v.optional(positiveNumber, defaultBounds.drainSeconds),
        /** Time from the acknowledgement of an evacuation until the zone receives no more requests. */
        evacuateSeconds: v.optional(positiveNumber, defaultBounds.evacuateSeconds),
        /** Fraction of a region's requests that may move to other regions from one two-second window to the next. */
        maxRegionShift: nonNegativeNumber,
        /** Time from the withdrawal of a key until no instance serves it; absent if instances may serve it longer. */
        revokeSeconds: v.optional(positiveNumber),
        /**
         * In any window of this length, the instances together let a workspace exceed its quota by the fraction
         * `quotaOverage` and by `quotaSlack` requests.
         */
        quotaWindowSeconds: v.optional(positiveNumber, defaultBounds.quotaWindowSeconds),
        quotaOverage: v.optional(nonNegativeNumber, defaultBounds.quotaOverage),
        quotaSlack: v.optional(nonNegativeNumber, defaultBounds.quotaSlack),
    }),
});

/** Validated settings. */
export type GatewaySettings = v.InferOutput<typeof settingsSchema>;

/**
 * Parses and validates a settings file. Unknown keys are ignored, since the template may also serve newer versions.
 * @throws SettingsError
 */
export function parseGatewaySettings(text: string, fileName: string): GatewaySettings {
    return parseSettingsText(settingsSchema, text, fileName);
}

/**
 * Reads and validates a settings file.
 * @throws SettingsError
 */
export async function readGatewaySettings(path: string): Promise<GatewaySettings> {
    return parseGatewaySettings(await readSettingsText(path), path);
}
