/** Protects backend servers from a request that crashes every server it runs on. */
export interface CrashGuard {
    /** Whether requests with this fingerprint are rejected. */
    isQuarantined(fingerprint: string): boolean;
    /** Whether the connection to a server broke while it ran a request with this fingerprint. */
    isSuspect(fingerprint: string): boolean;
    /** Records the broken connection. Resolves when the live peers have been informed, or after a bounded wait. */
    reportCrash(fingerprint: string, serverId: string): Promise<void>;
    /** Clears the suspicion after a request with this fingerprint has completed. */
    reportSuccess(fingerprint: string): void;
}
