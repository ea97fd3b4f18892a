/** Activates a manifest by a conditional update of the store object `manifest`. */
import { isDeepStrictEqual } from "node:util";
import {
    MemberStatus,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
} from "@waxwingdale/core";
import type { ObjectStore } from "@waxwingdale/core";
import { entryPrefix, readAcceptedMetadata, readEntryFormats } from "./accepted-manifest.js";
import type { AcceptedMetadata } from "./accepted-manifest.js";
import { checkManifest } from "./check-manifest.js";
import { hasErrors } from "./problem.js";
import {
    FormatNotSupportedError,
    ManifestInvalidError,
    PushConflictError,
    PushOutcomeUnknownError,
    PushRejectedError,
    PushUnavailableError,
} from "./push-error.js";
import { manifestKey } from "./types.js";
import type { AcceptedManifest, Manifest } from "./types.js";

/** Maximum attempts to resolve a write whose response was lost; each is one read and at most one write. */
const maxAttempts = 4;
/** States in which an entry no longer applies manifests. */
const inactiveStates: readonly string[] = [MemberStatus.Leaving, MemberStatus.Dead, "stopped"];

/** The stored object under the manifest's key. */
interface StoredManifest {
    version: number;
    metadata: AcceptedMetadata | undefined;
    value: unknown;
}

/** The write has taken effect, has not taken effect, or has an unknown outcome. */
type WriteResult = { kind: "accepted" } | { kind: "conflict" | "lost"; cause: Error };

/**
 * Activates a manifest as the generation after `base`. Retrying a push with the same `pushId` is safe: it is accepted
 * at most once.
 * @param base generation that the manifest is based on; undefined if none is active
 * @param pushId id of this push, unique among all pushes
 * @throws ManifestInvalidError, FormatNotSupportedError, PushConflictError, PushRejectedError, PushUnavailableError,
 * PushOutcomeUnknownError
 */
export async function pushManifest(
    store: ObjectStore,
    manifest: Manifest,
    base: number | undefined,
    pushId: string,
): Promise<AcceptedManifest> {
    checkErrors(manifest);
    await checkFormats(store, manifest.formatVersion);
    const { formatVersion } = manifest;
    let isOutcomeUnknown = false;
    let lastError: Error | undefined;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const current = await readStoredManifest(store, isOutcomeUnknown);
        if (current instanceof Error) {
            lastError = current;
            continue;
        }
        const { metadata, version } = current;
        const accepted = { generation: (base ?? 0) + 1, pushId, formatVersion, manifest };
        if (metadata?.pushId === pushId) {
            checkSameManifest(current, manifest, pushId);
            return { ...accepted, generation: metadata.generation };
        }
        checkBase(metadata, base, pushId, isOutcomeUnknown);
        const result = await writeManifest(store, accepted, version, isOutcomeUnknown);
        if (result.kind === "accepted") {
            return accepted;
        }
        isOutcomeUnknown ||= result.kind === "lost";
        lastError = result.cause;
    }
    if (!isOutcomeUnknown) {
        throw new PushConflictError(
            "the manifest object keeps changing; nothing was written: retry the push",
            base,
            {
                cause: lastError,
            },
        );
    }
    throw new PushOutcomeUnknownError(
        `the response to push ${pushId} was lost: read the active manifest and compare its push id, or retry the push with this id`,
        pushId,
        { cause: lastError },
    );
}

function checkErrors(manifest: Manifest): void {
    const problems = checkManifest(manifest);
    if (hasErrors(problems)) {
        throw new ManifestInvalidError("the manifest has errors: run `waxwingdale check`", problems);
    }
}

async function checkFormats(store: ObjectStore, formatVersion: number): Promise<void> {
    const records = await listEntries(store);
    const incompatible = records
        .filter(({ record }) => record === undefined || !inactiveStates.includes(record.state))
        .filter(({ record }) => !record?.formats.includes(formatVersion))
        .map(({ id }) => id);
    if (incompatible.length > 0) {
        throw new FormatNotSupportedError(
            `format version ${formatVersion} is not supported by ${incompatible.join(", ")}: upgrade these entries, or delete the records of entries that no longer exist`,
            incompatible,
        );
    }
}

async function listEntries(store: ObjectStore) {
    try {
        const objects = await store.list(entryPrefix);
        return objects.map(({ key, value }) => ({
            id: key.slice(entryPrefix.length),
            record: readEntryFormats(value),
        }));
    } catch (err) {
        throw new PushUnavailableError("cannot read the entry records; nothing was written", { cause: err });
    }
}

/** Returns the error if the outcome of a write is unknown, since "nothing was written" might be wrong then. */
async function readStoredManifest(
    store: ObjectStore,
    isOutcomeUnknown: boolean,
): Promise<StoredManifest | Error> {
    try {
        const object = await store.get(manifestKey);
        const metadata = readAcceptedMetadata(object?.value);
        if (object !== undefined && metadata === undefined) {
            throw new PushRejectedError(
                `the object ${manifestKey} in the store is not an accepted manifest: restore or delete it`,
            );
        }
        return { version: object?.version ?? 0, metadata, value: object?.value };
    } catch (err) {
        if (!(err instanceof StoreUnavailableError)) {
            throw err;
        }
        if (isOutcomeUnknown) {
            return err;
        }
        throw new PushUnavailableError("cannot read the active manifest; nothing was written", {
            cause: err,
        });
    }
}

function checkSameManifest(current: StoredManifest, manifest: Manifest, pushId: string): void {
    const stored = (current.value as Partial<AcceptedManifest>).manifest;
    if (!isDeepStrictEqual(stored, JSON.parse(JSON.stringify(manifest)))) {
        throw new PushConflictError(
            `push id ${pushId} was used for another manifest: push without --push-id`,
            current.metadata?.generation,
        );
    }
}

function checkBase(
    metadata: AcceptedMetadata | undefined,
    base: number | undefined,
    pushId: string,
    isOutcomeUnknown: boolean,
): void {
    const current = metadata?.generation ?? 0;
    const expected = base ?? 0;
    if (current === expected) {
        return;
    }
    if (isOutcomeUnknown && current > expected + 1) {
        // This push may have been accepted and then replaced by a later one before it was read back.
        throw new PushOutcomeUnknownError(
            `generation ${current} is active, and push ${pushId} may have been accepted before it: run \`waxwingdale show\` and compare`,
            pushId,
        );
    }
    const detail =
        base === undefined
            ? `generation ${current} is active: compare with it and push with --base ${current}`
            : `generation ${current} (push ${metadata?.pushId ?? "none"}) is active, not ${base}: compare with it and push with --base ${current}`;
    throw new PushConflictError(detail, metadata?.generation);
}

async function writeManifest(
    store: ObjectStore,
    accepted: AcceptedManifest,
    version: number,
    isOutcomeUnknown: boolean,
): Promise<WriteResult> {
    try {
        await store.put(manifestKey, accepted, version);
        return { kind: "accepted" };
    } catch (err) {
        if (err instanceof StoreConflictError) {
            return { kind: "conflict", cause: err };
        }
        if (err instanceof StoreUnavailableError && !isOutcomeUnknown) {
            throw new PushUnavailableError("cannot write the manifest; nothing was written", { cause: err });
        }
        if (err instanceof StoreOutcomeUnknownError || err instanceof StoreUnavailableError) {
            return { kind: "lost", cause: err };
        }
        if (err instanceof StoreRejectedError) {
            throw new PushRejectedError("the store rejected the manifest; nothing was written", {
                cause: err,
            });
        }
        throw err;
    }
}
