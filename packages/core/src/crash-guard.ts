/** Contract of the guard against a request that crashes each backend server that runs it. */
export interface CrashGuard {
    /** Whether requests with this fingerprint are refused. */
    isQuarantined(fingerprint: string): boolean;
    /** Whether a server's connection broke while a request with this fingerprint ran on it. */
    isSuspect(fingerprint: string): boolean;
    /** Records the break and resolves when the live peers know of it, or after a bounded wait. */
    reportCrash(fingerprint: string, serverId: string): Promise<void>;
    /** Clears a suspect that has completed. */
    reportSuccess(fingerprint: string): void;
}
