/** The accepted manifest: the highest generation that this process has seen and can apply. */
import type { Clock, Logger, ObjectStore, PeerTransport, Random } from "@waxwingdale/core";
import { manifestKey, supportedFormats } from "@waxwingdale/manifest";
import type { AcceptedManifest, Manifest } from "@waxwingdale/manifest";
import * as v from "valibot";
import type { DocumentExchange } from "./document-exchange.js";
import { UnsupportedDocumentError } from "./document-errors.js";
import { createReplicatedDocument } from "./replicated-document.js";

export interface AcceptedConfigOptions {
    store: ObjectStore;
    transport: PeerTransport;
    exchange: DocumentExchange;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Parses a manifest of a supported format. Throws if it is invalid. */
    parseManifest: (value: unknown) => Manifest;
    /**
     * Manifest formats that this release supports.
     * @default supportedFormats
     */
    formats?: readonly number[];
}

export interface AcceptedConfigStatus {
    /** Generation of the active manifest; 0 before the first one. */
    generation: number;
    /** A newer generation that this release cannot apply. While it is set, lookup responses leave out the entry. */
    unsupported: { generation: number | undefined; reason: string } | undefined;
}

export interface AcceptedConfig {
    /** Returns the active manifest, or undefined before the first one. */
    current(): AcceptedManifest | undefined;
    status(): AcceptedConfigStatus;
    /** Calls `listener` after each change of the active manifest. Returns a function that removes the listener. */
    onChange(listener: (accepted: AcceptedManifest) => void): () => void;
    /** Applies updates from the store and from peers until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

/** Fields that every release writes, regardless of the manifest format. */
const envelopeSchema = v.object({
    generation: v.pipe(v.number(), v.safeInteger(), v.minValue(1)),
    pushId: v.string(),
    formatVersion: v.pipe(v.number(), v.safeInteger()),
    manifest: v.unknown(),
});

/** Creates a config without a manifest and adds it to the exchange. */
export function createAcceptedConfig(options: AcceptedConfigOptions): AcceptedConfig {
    const formats = options.formats ?? supportedFormats;

    const parse = (value: unknown): AcceptedManifest => {
        const envelope = v.parse(envelopeSchema, value);
        const { formatVersion } = envelope;
        if (!formats.includes(formatVersion)) {
            throw new UnsupportedDocumentError(
                `this release supports format ${formats.join(", ")}, not ${formatVersion}; upgrade the entry`,
            );
        }
        return { ...envelope, manifest: options.parseManifest(envelope.manifest) };
    };

    const document = createReplicatedDocument({
        name: manifestKey,
        key: manifestKey,
        store: options.store,
        transport: options.transport,
        exchange: options.exchange,
        clock: options.clock,
        random: options.random,
        logger: options.logger,
        getOrder: value => [v.parse(envelopeSchema, value).generation],
        parse,
    });

    return {
        current: () => document.current(),
        status: () => {
            const { unsupported } = document.status();
            return {
                generation: document.current()?.generation ?? 0,
                unsupported: unsupported && {
                    generation: unsupported.order?.[0],
                    reason: unsupported.reason,
                },
            };
        },
        onChange: listener => document.onChange(listener),
        run: signal => document.run(signal),
    };
}
