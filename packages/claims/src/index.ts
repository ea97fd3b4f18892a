/** At-most-once claims of non-idempotent requests. */
export { createClaimService } from "./claim-service.js";
export type {
    ClaimLimits,
    ClaimServiceOptions,
    ClaimServiceState,
    ManagedClaimService,
} from "./claim-service.js";
