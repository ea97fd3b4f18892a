/** Messages of the RPC method by which instances borrow tokens of workspaces from their owners. */
import * as v from "valibot";

export const borrowMethod = "quota.borrow";

/** Workspaces in one call. */
export const maxDemands = 512;
const maxNameLength = 256;
const maxTokens = 1_000_000;

const countSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0), v.maxValue(maxTokens));
const idSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const nameSchema = v.pipe(v.string(), v.maxLength(maxNameLength));

export const borrowRequestSchema = v.object({
    /** Start of the calling process. */
    session: idSchema,
    /** Increases with each call of a session. */
    sequence: idSchema,
    demands: v.pipe(
        v.array(
            v.object({
                workspace: nameSchema,
                held: countSchema,
                owed: countSchema,
                needed: countSchema,
                ahead: countSchema,
            }),
        ),
        v.maxLength(maxDemands),
    ),
});

export const borrowReplySchema = v.object({
    grants: v.pipe(
        v.array(v.object({ workspace: nameSchema, granted: countSchema, nextTokenMs: idSchema })),
        v.maxLength(maxDemands),
    ),
    /** Workspaces that the called instance does not own, or does not own for long enough. */
    notLent: v.pipe(
        v.array(
            v.object({
                workspace: nameSchema,
                /** Time in milliseconds until the instance begins to lend; absent if it is not the owner. */
                lendsInMs: v.optional(idSchema),
            }),
        ),
        v.maxLength(maxDemands),
    ),
});

export type BorrowRequest = v.InferOutput<typeof borrowRequestSchema>;
export type BorrowReply = v.InferOutput<typeof borrowReplySchema>;
