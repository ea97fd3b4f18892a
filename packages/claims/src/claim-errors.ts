/** Internal errors of the claim service. */
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

/** The shard cannot commit changes at the moment. */
export class ShardUnavailableError extends WaxwingdaleError {
    constructor(
        /** Whether the rejected claim may have been written to the store nevertheless. */
        readonly maybeCommitted: boolean,
        message: string,
        options?: ErrorOptions,
    ) {
        super("ShardUnavailableError", message, options);
    }
}
