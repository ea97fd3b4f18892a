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
/** Trials that this instance has written which are remembered, to be written again or deleted. */
const maxWritten = 1000;
/**
 * Time in milliseconds after the store's return from an older copy in which no trial is claimed: the copy lacks trials that the
 * instances are writing again.
 */
const rewriteMs = 2000;
/** Interval in milliseconds between the attempts to write a trial again, and their number. */
const rewriteIntervalMs = 200;
const maxRewrites = 10;

/** An object with a trial that this instance has written. */
interface WrittenTrial {
    version: number;
    era: number | undefined;
    /** Fingerprints that are on trial. */
    fingerprints: string[];
}

const trialKey = (fingerprint: string) => `${crashSuspectsPrefix}trial-${fingerprint}`;

export function createTrialStart(options: TrialStartOptions): BeginTrial {
    const { suspects, store, clock, logger } = options;
    /** Clock times of the latest claims. */
    const claims: number[] = [];
    /** Clock times since which the trial of a quarantined request could not be decided, by fingerprint. */
    const undecidedSince = new Map<string, number>();
    /** Trials that this instance has written lately, by fingerprint. */
    const written = new Map<string, WrittenTrial>();
    /** Clock time from which trials are claimed. */
    let claimFrom = -Infinity;

    /** Whether the store may lack trials of other instances, since it has just come back from an older copy. */
    const isRewriting = () => clock.now() < claimFrom;

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

    /** Merges the stored trial of a request. Returns its version, or 0, and its era. */
    const readTrial = async (fingerprint: string) => {
        const stored = await store.get(trialKey(fingerprint));
        const era = store.era();
        const known = stored === undefined ? [] : (decodeReports(clock, stored) ?? []);
        known.forEach(report => suspects.merge(report));
        return { version: stored?.version ?? 0, era };
    };

    const writeTrial = async (
        fingerprint: string,
        reports: readonly CrashReport[],
        { version, era }: Pick<WrittenTrial, "version" | "era">,
    ) => {
        const value = encodeReports(clock, reports);
        const fingerprints = reports.map(report => report.fingerprint);
        const next = await store.put(trialKey(fingerprint), value, version, undefined, era);
        setBounded(written, fingerprint, { version: next, era, fingerprints }, maxWritten);
    };

    /** @throws the errors of the store. */
    const claim = async (fingerprint: string, identity: RequestIdentity): Promise<Claim> => {
        const current = await readTrial(fingerprint);
        if (isRewriting() || suspects.rejectedMs(identity) > 0) {
            return Claim.Taken;
        }
        await writeTrial(fingerprint, suspects.trialReports(identity), current);
        return suspects.rejectedMs(identity) > 0 ? Claim.Taken : Claim.Granted;
    };

    const claimInTime = async (fingerprint: string, identity: RequestIdentity): Promise<Claim> => {
        if (isRewriting()) {
            return Claim.Taken;
        }
        if (!mayClaim()) {
            return Claim.Undecided;
        }
        const era = store.era();
        const timeout = clock.sleep(decisionMs).then(() => Claim.Undecided);
        const decision = claim(fingerprint, identity).catch((err: unknown) => {
            // A write that was sent in another era may have replaced the trial of another instance.
            if (err instanceof StoreConflictError || store.era() !== era) {
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
        const trial = written.get(fingerprint);
        if (trial === undefined || crashes > 0) {
            return;
        }
        written.delete(fingerprint);
        undecidedSince.delete(fingerprint);
        // The archive keeps the end of the suspicion; an object that stays is read with it.
        store.delete(trialKey(fingerprint), trial.version, undefined, trial.era).catch((err: unknown) => {
            logger.debug("crash-trial-not-deleted", { fingerprint, error: getErrorMessage(err) });
        });
    });

    const isOpen = (fingerprint: string) => (suspects.report(fingerprint).trialSteps ?? 0) % 2 === 1;

    /** Writes a trial again until it is stored, its outcome is known, or the era has ended. */
    const rewriteTrial = async (fingerprint: string, era: number) => {
        for (let attempts = 0; attempts < maxRewrites; attempts++) {
            const trial = written.get(fingerprint);
            if (trial === undefined || store.era() !== era || !isOpen(fingerprint)) {
                return;
            }
            try {
                const current = await readTrial(fingerprint);
                const reports = trial.fingerprints.map(other => suspects.report(other));
                await writeTrial(fingerprint, reports, current);
                return;
            } catch (err) {
                logger.warn("crash-trial-not-rewritten", { fingerprint, error: getErrorMessage(err) });
                await clock.sleep(rewriteIntervalMs);
            }
        }
    };

    const rewriteTrials = async (era: number) => {
        for (const fingerprint of [...written.keys()]) {
            await rewriteTrial(fingerprint, era);
        }
    };

    store.onEraChange(({ to }) => {
        claimFrom = clock.now() + rewriteMs;
        void rewriteTrials(to);
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
