/** Settings of the limiter. */

export interface LimitsConfig {
    /**
     * Time after which a slot of a vanished owner is used by its next owner. A pause of the process that is longer
     * than this makes the entry treat its slots as not owned.
     * @default 5000
     */
    takeoverDelayMs: number;
    /**
     * Interval of the housekeeping that reclaims expired grants and asks again for unanswered claims.
     * @default 100
     */
    tickMs: number;
    /**
     * Interval at which a want is sent again while requests wait.
     * @default 50
     */
    wantResendMs: number;
    /**
     * Least time between two wants to the same peer.
     * @default 2
     */
    wantIntervalMs: number;
    /**
     * Peers that hear of a want. Regions with more entries use a random choice, so the cost of a want is bounded.
     * @default 8
     */
    wantFanout: number;
    /**
     * Time limit of a call to a peer.
     * @default 500
     */
    callTimeoutMs: number;
    /**
     * Time that a grant lasts beyond the longest deadline of the waiting requests, so the borrower may use the slot
     * again for later requests.
     * @default 2000
     */
    grantSlackMs: number;
    /**
     * Time that the owner waits after the expiry of a grant before it uses the slot again.
     * @default 500
     */
    reclaimMarginMs: number;
    /**
     * Time for which an entry keeps a borrowed slot that nobody is waiting for.
     * @default 20
     */
    idleLoanTimeoutMs: number;
    /**
     * A request of a peer must have waited longer than a request of the entry by this much to get a free slot
     * first. Moving a slot leaves it idle for a message's delay, so moves must be worth it.
     * @default 16
     */
    localPreferenceMs: number;
    /**
     * Requests of one service that may wait.
     * @default 256
     */
    maxQueueLength: number;
    /**
     * Part of the time left to the deadline that the estimated wait may take.
     * @default 0.25
     */
    maxWaitShare: number;
    /**
     * Share of the slots that each lower class gets while higher classes are waiting.
     * @default 0.05
     */
    lowerClassShare: number;
    /**
     * First time for which the slots of a refusing server are closed; doubles with each further refusal.
     * @default 100
     */
    minBackoffMs: number;
    /** @default 5000 */
    maxBackoffMs: number;
    /**
     * Time for which a load report counts.
     * @default 1000
     */
    reportTtlMs: number;
    /**
     * Service time that is assumed before any was measured.
     * @default 20
     */
    initialServiceMs: number;
}

export const defaultLimitsConfig: Readonly<LimitsConfig> = {
    takeoverDelayMs: 5000,
    tickMs: 100,
    wantResendMs: 50,
    wantIntervalMs: 2,
    wantFanout: 8,
    callTimeoutMs: 500,
    grantSlackMs: 2000,
    reclaimMarginMs: 500,
    idleLoanTimeoutMs: 20,
    localPreferenceMs: 16,
    maxQueueLength: 256,
    maxWaitShare: 0.25,
    lowerClassShare: 0.05,
    minBackoffMs: 100,
    maxBackoffMs: 5000,
    reportTtlMs: 1000,
    initialServiceMs: 20,
};
