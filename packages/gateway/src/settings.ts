/** Settings of a gateway instance: a file in JSON with comments that the platform fills in from its template. */
import { LogLevel, addressSchema, parseSettingsText, readSettingsText } from "@waxwingdale/core";
import * as v from "valibot";

const amount = v.pipe(v.number("must be a number"), v.minValue(0, "must not be negative"));
/** Bounds of deployments that declare none. */
const defaultBounds = { configApplySeconds: 2.5, drainSeconds: 2.5, evacuateSeconds: 5 };
const bound = v.pipe(v.number("must be a number"), v.gtValue(0, "must be greater than 0"));
const name = v.pipe(v.string("must be a text"), v.minLength(1, "must not be empty"));

const settingsSchema = v.object({
    /** Id of the instance, unique in the fleet. */
    id: name,
    region: name,
    zone: name,
    listen: v.object({
        callers: addressSchema,
        readiness: addressSchema,
        /** For calls between instances; it also serves state and metrics. */
        peers: addressSchema,
        directory: addressSchema,
        /** For the collector of metrics, when it does not use the peers' address. */
        metrics: v.optional(addressSchema),
    }),
    /** Peer addresses to join by. */
    seeds: v.optional(v.array(addressSchema), []),
    /** Region of each availability zone. */
    zones: v.record(name, name),
    /** Address of the platform's store. */
    store: addressSchema,
    logLevel: v.optional(v.enum(LogLevel, "must be debug, info, warn or error"), LogLevel.Info),
    /** What the instance has for its work. */
    machine: v.optional(
        v.object({
            cores: amount,
            /** Part of the cores' time that the instance has. */
            coreShare: amount,
            /** Rate of its link, each way. */
            linkMbps: amount,
        }),
    ),
    /** Bounds that are declared for the deployment. */
    bounds: v.object({
        /** Time from SIGTERM to the end of the process. */
        graceSeconds: amount,
        /** Longest time for which clients may keep a look-up answer. */
        lookupTtlSeconds: amount,
        /** Retries for each request in a window, all instances together, and how many more in any window. */
        retryRatio: amount,
        retryWindowSeconds: amount,
        retrySlack: amount,
        /** A cold server gets its declared rate times the factor, plus the slack, in any second. */
        coldFactor: amount,
        coldSlack: amount,
        /** Time from the acknowledgement of a configuration until it is in force everywhere. */
        configApplySeconds: v.optional(bound, defaultBounds.configApplySeconds),
        /** Time from the acknowledgement that a backend server leaves until it gets no requests. */
        drainSeconds: v.optional(bound, defaultBounds.drainSeconds),
        /** Time from the acknowledgement of an evacuation until the zone gets no requests. */
        evacuateSeconds: v.optional(bound, defaultBounds.evacuateSeconds),
        /** Part of a region's requests that may change their region from one window of two seconds to the next. */
        maxRegionShift: amount,
    }),
});

/** Checked settings. */
export type GatewaySettings = v.InferOutput<typeof settingsSchema>;

/**
 * Checks the text of a settings file. Unknown keys are left out, since the template may serve newer versions as well.
 * @throws SettingsError
 */
export function parseGatewaySettings(text: string, fileName: string): GatewaySettings {
    return parseSettingsText(settingsSchema, text, fileName);
}

/**
 * Reads and checks a settings file.
 * @throws SettingsError
 */
export async function readGatewaySettings(path: string): Promise<GatewaySettings> {
    return parseGatewaySettings(await readSettingsText(path), path);
}
