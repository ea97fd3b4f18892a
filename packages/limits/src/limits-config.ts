/** Settings for slot sharing and admission control. */

export interface LimitsConfig {
    /**
     * Time after which the next owner uses the slots of a failed owner. An entry whose process was paused for longer
     * has to claim its slots again.
     * @default 5000
     */
    takeoverDelayMs: number;
    /**
     * Interval at which expired grants are reclaimed and pending claims are resent.
     * @default 100
     */
    tickMs: number;
    /**
     * Interval at which a want is resent while requests are waiting.
     * @default 50
     */
    wantResendMs: number;
    /**
     * Minimum time between two wants to the same peer.
     * @default 2
     */
    wantIntervalMs: number;
    /**
     * Maximum number of peers that a want is sent to. If the region has more, a random subset is chosen, which bounds
     * the cost of a want.
     * @default 8
     */
    wantFanout: number;
    /**
     * Timeout of a call to a peer.
     * @default 500
     */
    callTimeoutMs: number;
    /**
     * Time for which a grant remains valid after the latest deadline of the waiting requests, so that the borrower can
     * reuse the slot for later requests.
     * @default 2000
     */
    grantSlackMs: number;
    /**
     * Time that the owner waits after a grant has expired before it uses the slot again.
     * @default 500
     */
    reclaimMarginMs: number;
    /**
     * Time for which an entry keeps a borrowed slot while no request is waiting for it.
     * @default 20
     */
    idleLoanTimeoutMs: number;
    /**
     * A peer's request takes precedence over a local one of the same class only if it has been waiting longer by more
     * than this time, because lending a slot leaves it idle for the delay of one message.
     * @default 16
     */
    localPreferenceMs: number;
    /**
     * Maximum number of waiting requests per service.
     * @default 256
     */
    maxQueueLength: number;
    /**
     * Maximum estimated wait, as a fraction of the time left until the deadline.
     * @default 0.25
     */
    maxWaitShare: number;
    /**
     * Share of the slots that each lower-priority class gets while higher-priority classes are waiting.
     * @default 0.05
     */
    lowerClassShare: number;
    /**
     * Initial backoff for a server that rejects requests or is unreachable. Doubles with each further failure.
     * @default 100
     */
    minBackoffMs: number;
    /** @default 5000 */
    maxBackoffMs: number;
    /**
     * Time for which a load report is valid.
     * @default 1000
     */
    reportTtlMs: number;
    /**
     * Service time that is assumed until one has been measured.
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
