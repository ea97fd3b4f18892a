/** At-most-once claims, and the quarantine of requests that crash servers. */
export { createClaimService } from "./claim-service.js";
export type {
    ClaimLimits,
    ClaimServiceOptions,
    ClaimServiceState,
    ManagedClaimService,
} from "./claim-service.js";
export { createCrashGuard } from "./crash-guard.js";
export type {
    CrashGuardLimits,
    CrashGuardOptions,
    CrashGuardState,
    CrashReport,
    ManagedCrashGuard,
    SuspectReport,
} from "./crash-guard.js";
export { fingerprintRequest, maxFingerprintBodyBytes } from "./request-fingerprint.js";
export type { FingerprintInput } from "./request-fingerprint.js";
