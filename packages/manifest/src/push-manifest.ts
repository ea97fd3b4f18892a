/** Puts a manifest in force by a conditional update of the object `manifest`. */
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

/** Tries to settle a write whose answer was lost, each of one read and at most one more write. */
const maxAttempts = 4;
/** States in which an entry applies no further manifest. */
const goneStates: readonly string[] = [MemberStatus.Leaving, MemberStatus.Dead, "stopped"];

/** What the store holds under the manifest's key. */
interface CurrentManifest {
    version: number;
    head: AcceptedMetadata | undefined;
    value: unknown;
}

/** The write is known to have taken effect, not to have taken effect, or is in doubt. */
type WriteResult = { kind: "accepted" } | { kind: "conflict" | "lost"; cause: Error };

/**
 * Accepts a manifest as the generation after `base`. Repeating a push with the same `pushId` is safe: it is accepted
 * once.
 * @param base generation that the manifest was made from; undefined when none is in force
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
    let isInDoubt = false;
    let lastError: Error | undefined;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const current = await readCurrent(store, isInDoubt);
        if (current instanceof Error) {
            lastError = current;
            continue;
        }
        const { head, version } = current;
        const accepted = { generation: (base ?? 0) + 1, pushId, formatVersion, manifest };
        if (head?.pushId === pushId) {
            checkSameManifest(current, manifest, pushId);
            return { ...accepted, generation: head.generation };
        }
        checkBase(head, base, pushId, isInDoubt);
        const result = await write(store, accepted, version, isInDoubt);
        if (result.kind === "accepted") {
            return accepted;
        }
        isInDoubt ||= result.kind === "lost";
        lastError = result.cause;
    }
    if (!isInDoubt) {
        throw new PushConflictError(
            "the manifest object keeps changing, nothing was written: try again",
            base,
            {
                cause: lastError,
            },
        );
    }
    throw new PushOutcomeUnknownError(
        `the answer to push ${pushId} was lost: read the manifest in force and compare its push id, or repeat the push with this id`,
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
    const lacking = records
        .filter(({ record }) => record === undefined || !goneStates.includes(record.state))
        .filter(({ record }) => !record?.formats.includes(formatVersion))
        .map(({ id }) => id);
    if (lacking.length > 0) {
        throw new FormatNotSupportedError(
            `format ${formatVersion} is not known to ${lacking.join(", ")}: upgrade these entries, or delete the records of entries that no longer exist`,
            lacking,
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
        throw new PushUnavailableError("cannot read the entry records, nothing was written", { cause: err });
    }
}

/** Returns the error instead of throwing it while a write is in doubt, since "nothing was written" may be wrong then. */
async function readCurrent(store: ObjectStore, isInDoubt: boolean): Promise<CurrentManifest | Error> {
    try {
        const object = await store.get(manifestKey);
        const head = readAcceptedMetadata(object?.value);
        if (object !== undefined && head === undefined) {
            throw new PushRejectedError(
                `the object ${manifestKey} in the store is no accepted manifest: restore or delete it`,
            );
        }
        return { version: object?.version ?? 0, head, value: object?.value };
    } catch (err) {
        if (!(err instanceof StoreUnavailableError)) {
            throw err;
        }
        if (isInDoubt) {
            return err;
        }
        throw new PushUnavailableError("cannot read the manifest in force, nothing was written", {
            cause: err,
        });
    }
}

function checkSameManifest(current: CurrentManifest, manifest: Manifest, pushId: string): void {
    const stored = (current.value as Partial<AcceptedManifest>).manifest;
    if (!isDeepStrictEqual(stored, JSON.parse(JSON.stringify(manifest)))) {
        throw new PushConflictError(
            `push id ${pushId} was used for another manifest: push without --push-id`,
            current.head?.generation,
        );
    }
}

function checkBase(
    head: AcceptedMetadata | undefined,
    base: number | undefined,
    pushId: string,
    isInDoubt: boolean,
): void {
    const current = head?.generation ?? 0;
    const expected = base ?? 0;
    if (current === expected) {
        return;
    }
    if (isInDoubt && current > expected + 1) {
        // This push may have been accepted and replaced by a later one before it was read back.
        throw new PushOutcomeUnknownError(
            `generation ${current} is in force and push ${pushId} may have been an earlier one: run \`waxwingdale show\` and compare`,
            pushId,
        );
    }
    const detail =
        base === undefined
            ? `generation ${current} is in force: push with --base ${current} after comparing`
            : `generation ${current} (push ${head?.pushId ?? "none"}) is in force, not ${base}: compare with it and push with --base ${current}`;
    throw new PushConflictError(detail, head?.generation);
}

async function write(
    store: ObjectStore,
    accepted: AcceptedManifest,
    version: number,
    isInDoubt: boolean,
): Promise<WriteResult> {
    try {
        await store.put(manifestKey, accepted, version);
        return { kind: "accepted" };
    } catch (err) {
        if (err instanceof StoreConflictError) {
            return { kind: "conflict", cause: err };
        }
        if (err instanceof StoreUnavailableError && !isInDoubt) {
            throw new PushUnavailableError("cannot write the manifest, nothing was written", { cause: err });
        }
        if (err instanceof StoreOutcomeUnknownError || err instanceof StoreUnavailableError) {
            return { kind: "lost", cause: err };
        }
        if (err instanceof StoreRejectedError) {
            throw new PushRejectedError("the store refuses the manifest, nothing was written", {
                cause: err,
            });
        }
        throw err;
    }
}
