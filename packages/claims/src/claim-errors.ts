/** Errors between the parts of the claim service. */
import { WaxwingdaleError } from "@waxwingdale/core";
import type { ErrorOptions } from "@waxwingdale/core";

/** Another entry owns the shard. */
export class NotShardOwnerError extends WaxwingdaleError {
    constructor(
        readonly ownerId: string | undefined,
        message: string,
    ) {
        super("NotShardOwnerError", message);
    }
}

/** The shard cannot commit. */
export class ShardUnavailableError extends WaxwingdaleError {
    constructor(
        /** Whether the refused claim may be in the store all the same. */
        readonly maybeCommitted: boolean,
        message: string,
        options?: ErrorOptions,
    ) {
        super("ShardUnavailableError", message, options);
    }
}
