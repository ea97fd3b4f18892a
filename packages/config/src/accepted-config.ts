/** The accepted manifest: the greatest generation that this process has seen and can apply. */
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
    /** Checks the manifest of a supported format. Throws when it is not valid. */
    parseManifest: (value: unknown) => Manifest;
    /**
     * Formats that this release can apply.
     * @default supportedFormats
     */
    formats?: readonly number[];
}

export interface AcceptedConfigStatus {
    /** Generation in force; 0 before the first manifest. */
    generation: number;
    /** A newer generation that this release cannot apply. The entry then takes no part in look-up answers. */
    unsupported: { generation: number | undefined; reason: string } | undefined;
}

export interface AcceptedConfig {
    /** The manifest in force; undefined before the first one. */
    current(): AcceptedManifest | undefined;
    status(): AcceptedConfigStatus;
    /** Calls `listener` after each change of the manifest in force. Returns a function that removes it. */
    onChange(listener: (accepted: AcceptedManifest) => void): () => void;
    /** Follows the store and the peers until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

/** Fields that every release writes, whatever the format of the manifest in them. */
const envelopeSchema = v.object({
    generation: v.pipe(v.number(), v.safeInteger(), v.minValue(1)),
    pushId: v.string(),
    formatVersion: v.pipe(v.number(), v.safeInteger()),
    manifest: v.unknown(),
});

/** Creates the accepted manifest without a value and adds it to the exchange. */
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
