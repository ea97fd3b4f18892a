/** Logs when workspaces begin and cease to exceed their quotas. */
import type { Clock, Logger } from "@waxwingdale/core";

export interface QuotaLog {
    recordRejection(workspace: string): void;
    /** Logs the workspaces that no longer exceed their quotas. */
    update(): void;
}

/** Time in milliseconds without a rejection after which a workspace no longer exceeds its quota. */
const recoveredMs = 5000;

export function createQuotaLog(clock: Clock, logger: Logger): QuotaLog {
    const exceeding = new Map<string, { since: number; lastAt: number; rejected: number }>();
    return {
        recordRejection: workspace => {
            const now = clock.now();
            const state = exceeding.get(workspace);
            if (state === undefined) {
                exceeding.set(workspace, { since: now, lastAt: now, rejected: 1 });
                logger.info("quota-exceeded", { workspace });
            } else {
                state.lastAt = now;
                state.rejected += 1;
            }
        },
        update: () => {
            const now = clock.now();
            for (const [workspace, { since, lastAt, rejected }] of exceeding) {
                if (now - lastAt >= recoveredMs) {
                    exceeding.delete(workspace);
                    logger.info("quota-recovered", {
                        workspace,
                        rejected,
                        exceededMs: Math.round(lastAt - since),
                    });
                }
            }
        },
    };
}
