/** Times and sizes of the gossip protocol. */

export interface MembershipLimits {
    /** @default 500 */
    gossipIntervalMs: number;
    /** @default 800 */
    callTimeoutMs: number;
    /**
     * Time in milliseconds that a suspect has to refute.
     * @default 3000
     */
    suspicionMs: number;
    /**
     * Suspicion time in milliseconds when the peer's address refused the connection: its process is gone.
     * @default 1000
     */
    refusedSuspicionMs: number;
    /**
     * Time in milliseconds that the row of a dead member is kept and its address tried. It exceeds the cuts between
     * regions (minutes), so that both sides still know where to meet, and old gossip cannot bring a member back.
     * @default 600000
     */
    deadRetentionMs: number;
    /** @default 2 */
    indirectProbes: number;
    /**
     * Lateness in milliseconds of the own timers that counts as a pause of this process.
     * @default 1000
     */
    pauseThresholdMs: number;
    /**
     * Members that fail in a row, with no contact between, before this entry takes itself for the one cut off.
     * @default 3
     */
    isolationThreshold: number;
    /**
     * Time in milliseconds between attempts to reach a dead member.
     * @default 5000
     */
    deadRetryIntervalMs: number;
    /**
     * Time in milliseconds between checks of the seed list for entries that the view lacks.
     * @default 60000
     */
    seedCheckIntervalMs: number;
    /**
     * Rows in one exchange.
     * @default 16
     */
    rowsPerExchange: number;
    /**
     * Rows in one answer to a sync. A new entry reads its view from several peers.
     * @default 32
     */
    rowsPerSync: number;
    /**
     * Rows per second that this entry sends on average; bounds the bytes of a mass change.
     * @default 12
     */
    rowsPerSecond: number;
    /**
     * Rows that this entry may send at once after a quiet time.
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
