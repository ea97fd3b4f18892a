/** Reads the active manifest from the store. */
import type { ObjectStore } from "@waxwingdale/core";
import { ProblemCode, checkManifest, manifestKey, readAcceptedMetadata } from "@waxwingdale/manifest";
import type { AcceptedManifest } from "@waxwingdale/manifest";
import { CommandError } from "./command-error.js";
import { ExitCode } from "./exit-code.js";

/**
 * Returns the active manifest, or undefined if none has been pushed.
 * @throws CommandError if the object is malformed
 */
export async function readActiveManifest(store: ObjectStore): Promise<AcceptedManifest | undefined> {
    const object = await store.get(manifestKey);
    if (object === undefined) {
        return undefined;
    }
    const accepted = object.value as AcceptedManifest;
    if (readAcceptedMetadata(accepted) === undefined || !hasValidTypes(accepted)) {
        throw new CommandError(
            ExitCode.Refused,
            `the object ${manifestKey} is not a manifest in a format that this release supports`,
            "use the release that pushed it, or restore the object",
        );
    }
    return accepted;
}

/**
 * Returns the active manifest.
 * @throws CommandError if there is none
 */
export async function requireActiveManifest(store: ObjectStore): Promise<AcceptedManifest> {
    const accepted = await readActiveManifest(store);
    if (accepted === undefined) {
        throw new CommandError(
            ExitCode.Refused,
            "there is no active manifest",
            "push one with `waxwingdale push <file>`",
        );
    }
    return accepted;
}

function hasValidTypes({ manifest }: AcceptedManifest): boolean {
    return checkManifest(manifest).every(({ code }) => code !== ProblemCode.WrongType);
}
