/** Reads the manifest in force from the store. */
import type { ObjectStore } from "@waxwingdale/core";
import { ProblemCode, checkManifest, manifestKey, readAcceptedMetadata } from "@waxwingdale/manifest";
import type { AcceptedManifest } from "@waxwingdale/manifest";
import { CommandError } from "./command-error.js";
import { ExitCode } from "./exit-code.js";

/**
 * Returns the manifest in force; undefined when none was pushed yet.
 * @throws CommandError when the object is malformed
 */
export async function readActiveManifest(store: ObjectStore): Promise<AcceptedManifest | undefined> {
    const object = await store.get(manifestKey);
    if (object === undefined) {
        return undefined;
    }
    const accepted = object.value as AcceptedManifest;
    if (readAcceptedMetadata(accepted) === undefined || !hasManifest(accepted)) {
        throw new CommandError(
            ExitCode.Refused,
            `the object ${manifestKey} is no manifest of a format that this release knows`,
            "use the release that pushed it, or restore the object",
        );
    }
    return accepted;
}

/**
 * Returns the manifest in force.
 * @throws CommandError when there is none
 */
export async function requireActiveManifest(store: ObjectStore): Promise<AcceptedManifest> {
    const accepted = await readActiveManifest(store);
    if (accepted === undefined) {
        throw new CommandError(
            ExitCode.Refused,
            "no manifest is in force",
            "push one with `waxwingdale push <file>`",
        );
    }
    return accepted;
}

function hasManifest({ manifest }: AcceptedManifest): boolean {
    return checkManifest(manifest).every(({ code }) => code !== ProblemCode.WrongType);
}
