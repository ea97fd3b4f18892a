/**
 * Quarantines requests that crash every backend server they run on. Every entry stores the crashes for each request
 * fingerprint and merges in those of its peers by set union, so the order of reports and duplicates do not matter.
 */
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type {
    Clock,
    CrashGuard,
    Logger,
    Member,
    MemberView,
    PeerTransport,
    RpcRegistry,
} from "@waxwingdale/core";

export const reportMethod = "suspects.report";
/** Maximum time for which a crash report delays the response to the caller. */
const reportTimeoutMs = 1000;
/** Only fingerprints with a crash are stored, so reaching the limit takes as many crashes. */
const maxFingerprints = 10_000;
/** Maximum number of crashes per fingerprint. The oldest is dropped. */
const maxCrashesPerFingerprint = 16;
/** Number of fingerprints in one digest: about 3 KB with two crashes each. */
const digestSize = 16;

/** The loss of the connection to a server while it was running a request. */
export interface CrashReport {
    serverId: string;
    /** Entry that lost the connection. */
    reporter: string;
    /** Wall-clock time of the connection loss, in milliseconds. */
    at: number;
    /** Whether the request has completed after this crash. */
    cleared: boolean;
}

export interface SuspectReport {
    fingerprint: string;
    crashes: CrashReport[];
}

/** Settings from the manifest, read on each use. */
export interface CrashGuardLimits {
    crashLimit: number;
    quarantineSeconds: number;
}

export interface CrashGuardOptions {
    view: MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    clock: Clock;
    logger: Logger;
    limits: () => CrashGuardLimits;
}

export interface CrashGuardState {
    suspects: number;
    quarantined: { fingerprint: string; servers: string[] }[];
}

export interface ManagedCrashGuard extends CrashGuard {
    /** Returns some of the known crashes for the periodic exchange. Consecutive calls cycle through all of them. */
    digest(): SuspectReport[];
    /** Adds crashes received from a peer. */
    merge(remote: readonly SuspectReport[]): void;
    state(): CrashGuardState;
    close(): void;
}

export function createCrashGuard(options: CrashGuardOptions): ManagedCrashGuard {
    const { view, transport, rpc, clock, logger, limits } = options;
    /** Crashes by fingerprint and id. The fingerprints are ordered by their last change. */
    const suspects = new Map<string, Map<string, CrashReport>>();
    let digestPosition = 0;
    let isClosed = false;

    /** Whether the quarantine period has passed since the newest crash. */
    const isExpired = (crashes: Iterable<CrashReport>) => {
        const newest = Math.max(...[...crashes].map(crash => crash.at));
        return newest + limits().quarantineSeconds * 1000 <= clock.wallTime();
    };

    /** Returns the crashes of a fingerprint. All of them count until the newest one expires. */
    const getCrashes = (fingerprint: string): Map<string, CrashReport> | undefined => {
        const crashes = suspects.get(fingerprint);
        if (crashes !== undefined && isExpired(crashes.values())) {
            suspects.delete(fingerprint);
            return undefined;
        }
        return crashes;
    };

    const listCrashedServers = (fingerprint: string): string[] => {
        const crashes = getCrashes(fingerprint);
        const uncleared = [...(crashes?.values() ?? [])].filter(crash => !crash.cleared);
        return [...new Set(uncleared.map(crash => crash.serverId))];
    };

    const isQuarantined = (fingerprint: string) =>
        listCrashedServers(fingerprint).length >= limits().crashLimit;

    const addCrash = (fingerprint: string, crash: CrashReport) => {
        const id = `${crash.serverId}\n${crash.reporter}\n${crash.at}`;
        const crashes = getCrashes(fingerprint) ?? new Map<string, CrashReport>();
        const existing = crashes.get(id);
        if (existing !== undefined && (existing.cleared || !crash.cleared)) {
            return;
        }
        const wasQuarantined = isQuarantined(fingerprint);
        crashes.set(id, { ...crash });
        if (crashes.size > maxCrashesPerFingerprint) {
            crashes.delete(crashes.keys().next().value!);
        }
        suspects.delete(fingerprint);
        suspects.set(fingerprint, crashes);
        evict();
        if (!wasQuarantined && isQuarantined(fingerprint)) {
            logger.warn("request-quarantined", {
                fingerprint,
                servers: listCrashedServers(fingerprint).join(","),
            });
        }
    };

    /** Evicts the least recently changed fingerprint, preferably one that is not quarantined. */
    const evict = () => {
        if (suspects.size <= maxFingerprints) {
            return;
        }
        for (const fingerprint of suspects.keys()) {
            if (!isQuarantined(fingerprint)) {
                suspects.delete(fingerprint);
                return;
            }
        }
        suspects.delete(suspects.keys().next().value!);
    };

    const merge = (remote: readonly SuspectReport[]) => {
        for (const { fingerprint, crashes } of remote.filter(report => !isExpired(report.crashes))) {
            for (const crash of crashes.slice(0, maxCrashesPerFingerprint)) {
                addCrash(fingerprint, crash);
            }
        }
    };

    const isPeer = (member: Member) =>
        member.id !== view.self().id &&
        (member.status === MemberStatus.Live ||
            member.status === MemberStatus.Suspect ||
            member.status === MemberStatus.Leaving);

    /** Sends a report to all peers. Resolves when they have responded or the timeout has passed. */
    const reportToPeers = async (report: SuspectReport): Promise<void> => {
        const sendReport = async (peer: Member) => {
            try {
                await transport.call(peer.peerAddress, reportMethod, [report], reportTimeoutMs);
            } catch (err) {
                // The peer will receive the report in the periodic exchange.
                logger.debug("suspect-report-failed", { peer: peer.id, error: getErrorMessage(err) });
            }
        };
        const all = Promise.all(view.members().filter(isPeer).map(sendReport));
        const timeoutController = new AbortController();
        await Promise.race([all, clock.sleep(reportTimeoutMs, timeoutController.signal)]);
        timeoutController.abort();
    };

    const toReport = (fingerprint: string): SuspectReport => ({
        fingerprint,
        crashes: [...(suspects.get(fingerprint)?.values() ?? [])].map(crash => ({ ...crash })),
    });

    rpc.addMethod(reportMethod, params => {
        merge(params as SuspectReport[]);
        return {};
    });

    return {
        isQuarantined,
        isSuspect: fingerprint => listCrashedServers(fingerprint).length > 0,
        reportCrash: async (fingerprint, serverId) => {
            addCrash(fingerprint, {
                serverId,
                reporter: view.self().id,
                at: clock.wallTime(),
                cleared: false,
            });
            if (!isClosed) {
                await reportToPeers(toReport(fingerprint));
            }
        },
        reportSuccess: fingerprint => {
            const crashes = getCrashes(fingerprint);
            const isSuspected = listCrashedServers(fingerprint).length > 0;
            if (crashes === undefined || !isSuspected || isQuarantined(fingerprint) || isClosed) {
                return;
            }
            for (const crash of crashes.values()) {
                crash.cleared = true;
            }
            void reportToPeers(toReport(fingerprint));
        },
        digest: () => {
            const fingerprints = [...suspects.keys()].filter(
                fingerprint => getCrashes(fingerprint) !== undefined,
            );
            const start = digestPosition < fingerprints.length ? digestPosition : 0;
            digestPosition = start + digestSize;
            return fingerprints.slice(start, start + digestSize).map(toReport);
        },
        merge,
        state: () => {
            const all = [...suspects.keys()];
            const quarantined = all
                .filter(isQuarantined)
                .map(fingerprint => ({ fingerprint, servers: listCrashedServers(fingerprint) }));
            return { suspects: all.filter(key => listCrashedServers(key).length > 0).length, quarantined };
        },
        close: () => {
            isClosed = true;
        },
    };
}
