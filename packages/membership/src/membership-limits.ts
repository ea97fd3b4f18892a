/** Timing and size parameters of the gossip protocol. */

export interface MembershipLimits {
    /** @default 500 */
    gossipIntervalMs: number;
    /** @default 800 */
    callTimeoutMs: number;
    /**
     * Milliseconds that a suspect has to refute the suspicion.
     * @default 3000
     */
    suspicionMs: number;
    /**
     * Suspicion time in milliseconds after a refused connection, which means that the process has ended.
     * @default 1000
     */
    refusedSuspicionMs: number;
    /**
     * Milliseconds that the row of a dead member is kept and its address retried. Longer than network partitions
     * between regions (minutes), so that both sides can reconnect and old gossip cannot revive a dead member.
     * @default 600000
     */
    deadRetentionMs: number;
    /** @default 2 */
    indirectProbes: number;
    /**
     * Delay of this process's timers, in milliseconds, that counts as a pause.
     * @default 1000
     */
    pauseThresholdMs: number;
    /**
     * Number of members that cannot be reached, with no contact in between, from which this member counts as isolated.
     * @default 3
     */
    isolationThreshold: number;
    /**
     * Milliseconds between attempts to reach a dead member.
     * @default 5000
     */
    deadRetryIntervalMs: number;
    /**
     * Milliseconds between checks of the seed list for unknown members.
     * @default 60000
     */
    seedCheckIntervalMs: number;
    /**
     * Maximum number of rows in one exchange.
     * @default 16
     */
    rowsPerExchange: number;
    /**
     * Maximum number of rows in one sync response. A new member gets its view from several peers.
     * @default 32
     */
    rowsPerSync: number;
    /**
     * Average number of rows per second that this member sends. Limits the traffic when many members change at once.
     * @default 12
     */
    rowsPerSecond: number;
    /**
     * Number of rows that this member may send in a burst after a quiet period.
     * @default 100
     */
    rowBurst: number;
}

export const defaultMembershipLimits: MembershipLimits = {
    gossipIntervalMs: 500,
    callTimeoutMs: 800,
    suspicionMs: 3000,
    refusedSuspicionMs: 1000,
    deadRetentionMs: 600_000,
    indirectProbes: 2,
    pauseThresholdMs: 1000,
    isolationThreshold: 3,
    deadRetryIntervalMs: 5000,
    seedCheckIntervalMs: 60_000,
    rowsPerExchange: 16,
    rowsPerSync: 32,
    rowsPerSecond: 12,
    rowBurst: 100,
};
