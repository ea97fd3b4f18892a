/**
 * Begins the trial of a request that may crash servers, at one instance only. The store decides: an instance may send the
 * request once it has written the trial, which counts as a crash until its outcome is known, under the version that it read.
 */
import { StoreConflictError, getErrorMessage, setBounded } from "@waxwingdale/core";
import type { Clock, Logger, ObjectStore } from "@waxwingdale/core";
import { crashSuspectsPrefix } from "@waxwingdale/platform";
import type { BeginTrial, CrashReport, CrashSuspects, RequestIdentity } from "@waxwingdale/relay";
import { decodeReports, encodeReports } from "./crash-archive.js";

export interface TrialStartOptions {
    suspects: CrashSuspects;
    store: ObjectStore;
    clock: Clock;
    logger: Logger;
    /** Time in milliseconds for which this instance leaves a trial to others when the store can't decide. */
    delayMs: (fingerprint: string) => number;
}

enum Claim {
    Granted = "granted",
    /** Another instance has begun a trial, or knows why the request is rejected. */
    Taken = "taken",
    /** The store did not decide in time. */
    Undecided = "undecided",
}

/** Time in milliseconds in which the store must decide. */
const decisionMs = 400;
/** Trials that the store is asked for at most in the given time in milliseconds. */
const maxClaims = 10;
const claimWindowMs = 1000;
/** Time in milliseconds after which a quarantined request is on trial although the store can't decide. */
const maxUndecidedMs = 300_000;
/** Number of quarantined requests for which the first undecided trial is kept. */
const maxUndecided = 1000;

const trialKey = (fingerprint: string) => `${crashSuspectsPrefix}trial-${fingerprint}`;

export function createTrialStart(options: TrialStartOptions): BeginTrial {
    const { suspects, store, clock, logger } = options;
    /** Clock times of the latest claims. */
    const claims: number[] = [];
    /** Clock times since which the trial of a quarantined request could not be decided, by fingerprint. */
    const undecidedSince = new Map<string, number>();
    /** Versions of the trials that this instance has written, by fingerprint. */
    const versions = new Map<string, number>();

    const mayClaim = (): boolean => {
        const now = clock.now();
        while (claims.length > 0 && now - claims[0]! >= claimWindowMs) {
            claims.shift();
        }
        if (claims.length >= maxClaims) {
            return false;
        }
        claims.push(now);
        return true;
    };

    /** @throws the errors of the store. */
    const claim = async (fingerprint: string, identity: RequestIdentity): Promise<Claim> => {
        const key = trialKey(fingerprint);
        const stored = await store.get(key);
        const known = stored === undefined ? [] : (decodeReports(clock, stored) ?? []);
        known.forEach(report => suspects.merge(report));
        if (suspects.rejectedMs(identity) > 0) {
            return Claim.Taken;
        }
        const reports = suspects.trialReports(identity);
        const version = await store.put(key, encodeReports(clock, reports), stored?.version ?? 0);
        versions.set(fingerprint, version);
        return suspects.rejectedMs(identity) > 0 ? Claim.Taken : Claim.Granted;
    };

    const claimInTime = async (fingerprint: string, identity: RequestIdentity): Promise<Claim> => {
        if (!mayClaim()) {
            return Claim.Undecided;
        }
        const timeout = clock.sleep(decisionMs).then(() => Claim.Undecided);
        const decision = claim(fingerprint, identity).catch((err: unknown) => {
            if (err instanceof StoreConflictError) {
                return Claim.Taken;
            }
            logger.warn("crash-trial-undecided", { fingerprint, error: getErrorMessage(err) });
            return Claim.Undecided;
        });
        return Promise.race([decision, timeout]);
    };

    /** Whether a request that has crashed many servers has to wait until the store decides again. */
    const mustWaitForStore = (fingerprint: string, identity: RequestIdentity): boolean => {
        if (!suspects.isQuarantined(identity)) {
            return false;
        }
        const since = undecidedSince.get(fingerprint);
        if (since === undefined) {
            setBounded(undecidedSince, fingerprint, clock.now(), maxUndecided);
            return true;
        }
        return clock.now() - since < maxUndecidedMs;
    };

    /** Leaves the trial to the instances that rank before this one, which tell it of theirs. */
    const beginByRank = async (fingerprint: string, identity: RequestIdentity): Promise<boolean> => {
        if (mustWaitForStore(fingerprint, identity)) {
            return false;
        }
        await clock.sleep(options.delayMs(fingerprint));
        return suspects.rejectedMs(identity) === 0;
    };

    suspects.onChange(({ fingerprint, crashes }: CrashReport) => {
        const version = versions.get(fingerprint);
        if (version === undefined || crashes > 0) {
            return;
        }
        versions.delete(fingerprint);
        undecidedSince.delete(fingerprint);
        // The archive keeps the end of the suspicion; an object that stays is read with it.
        store.delete(trialKey(fingerprint), version).catch((err: unknown) => {
            logger.debug("crash-trial-not-deleted", { fingerprint, error: getErrorMessage(err) });
        });
    });

    return async identity => {
        const [report] = suspects.trialReports(identity);
        if (report === undefined) {
            return true;
        }
        const { fingerprint } = report;
        const decision = await claimInTime(fingerprint, identity);
        const isAllowed =
            decision === Claim.Granted ||
            (decision === Claim.Undecided && (await beginByRank(fingerprint, identity)));
        if (isAllowed) {
            undecidedSince.delete(fingerprint);
            suspects.beginTrial(identity);
        }
        return isAllowed;
    };
}
