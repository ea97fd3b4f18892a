/**
 * Guard against a request that crashes each backend server that runs it. Every entry keeps the crashes of each
 * fingerprint; crashes of all entries merge by union, so the order and number of reports do not matter.
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
/** Longest time for which a report delays the answer to the caller. */
const reportTimeoutMs = 1000;
/** Only a fingerprint with a crash is kept, so filling this takes as many crashes. */
const maxFingerprints = 10_000;
/** Crashes kept for each fingerprint; the oldest is dropped. */
const maxCrashes = 16;
/** Fingerprints in one digest: about 3 KB with two crashes each. */
const digestLength = 16;

/** One break of a server's connection while a request ran. */
export interface CrashReport {
    serverId: string;
    /** Entry that saw the break. */
    reporter: string;
    /** Wall time of the break in milliseconds. */
    at: number;
    /** The request completed after this break. */
    cleared: boolean;
}

export interface SuspectReport {
    fingerprint: string;
    crashes: CrashReport[];
}

/** The part of the manifest that the guard reads each time it needs it. */
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
    /** Part of the known crashes for a periodic exchange; consecutive calls go round all of them. */
    digest(): SuspectReport[];
    /** Adds a peer's crashes. */
    merge(remote: readonly SuspectReport[]): void;
    state(): CrashGuardState;
    close(): void;
}

export function createCrashGuard(options: CrashGuardOptions): ManagedCrashGuard {
    const { view, transport, rpc, clock, logger, limits } = options;
    /** Crashes by fingerprint and then by id, in the order of their last change. */
    const suspects = new Map<string, Map<string, CrashReport>>();
    let digestPosition = 0;
    let isClosed = false;

    /** Whether the last crash is so long ago that none counts any more. */
    const isExpired = (crashes: Iterable<CrashReport>) => {
        const newest = Math.max(...[...crashes].map(crash => crash.at));
        return newest + limits().quarantineSeconds * 1000 <= clock.wallTime();
    };

    /** Crashes of a fingerprint, all of which count until the newest one expires. */
    const getCrashes = (fingerprint: string): Map<string, CrashReport> | undefined => {
        const crashes = suspects.get(fingerprint);
        if (crashes !== undefined && isExpired(crashes.values())) {
            suspects.delete(fingerprint);
            return undefined;
        }
        return crashes;
    };

    const listServers = (fingerprint: string): string[] => {
        const crashes = getCrashes(fingerprint);
        const open = [...(crashes?.values() ?? [])].filter(crash => !crash.cleared);
        return [...new Set(open.map(crash => crash.serverId))];
    };

    const isQuarantined = (fingerprint: string) => listServers(fingerprint).length >= limits().crashLimit;

    const add = (fingerprint: string, crash: CrashReport) => {
        const id = `${crash.serverId}\n${crash.reporter}\n${crash.at}`;
        const crashes = getCrashes(fingerprint) ?? new Map<string, CrashReport>();
        const known = crashes.get(id);
        if (known !== undefined && (known.cleared || !crash.cleared)) {
            return;
        }
        const wasQuarantined = isQuarantined(fingerprint);
        crashes.set(id, { ...crash });
        if (crashes.size > maxCrashes) {
            crashes.delete(crashes.keys().next().value!);
        }
        suspects.delete(fingerprint);
        suspects.set(fingerprint, crashes);
        evict();
        if (!wasQuarantined && isQuarantined(fingerprint)) {
            logger.warn("request-quarantined", { fingerprint, servers: listServers(fingerprint).join(",") });
        }
    };

    /** Drops the least recent fingerprint, one below the limit if there is any. */
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
            for (const crash of crashes.slice(0, maxCrashes)) {
                add(fingerprint, crash);
            }
        }
    };

    const isPeer = (member: Member) =>
        member.id !== view.self().id &&
        (member.status === MemberStatus.Live ||
            member.status === MemberStatus.Suspect ||
            member.status === MemberStatus.Leaving);

    /** Tells all peers, and resolves when they have answered or the time is up. */
    const tellPeers = async (report: SuspectReport): Promise<void> => {
        const tell = async (peer: Member) => {
            try {
                await transport.call(peer.peerAddress, reportMethod, [report], reportTimeoutMs);
            } catch (err) {
                // The peer learns of it by the periodic exchange.
                logger.debug("suspect-report-failed", { peer: peer.id, error: getErrorMessage(err) });
            }
        };
        const all = Promise.all(view.members().filter(isPeer).map(tell));
        const stop = new AbortController();
        await Promise.race([all, clock.sleep(reportTimeoutMs, stop.signal)]);
        stop.abort();
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
        isSuspect: fingerprint => listServers(fingerprint).length > 0,
        reportCrash: async (fingerprint, serverId) => {
            add(fingerprint, { serverId, reporter: view.self().id, at: clock.wallTime(), cleared: false });
            if (!isClosed) {
                await tellPeers(toReport(fingerprint));
            }
        },
        reportSuccess: fingerprint => {
            const crashes = getCrashes(fingerprint);
            const isOpen = listServers(fingerprint).length > 0;
            if (crashes === undefined || !isOpen || isQuarantined(fingerprint) || isClosed) {
                return;
            }
            for (const crash of crashes.values()) {
                crash.cleared = true;
            }
            void tellPeers(toReport(fingerprint));
        },
        digest: () => {
            const fingerprints = [...suspects.keys()].filter(
                fingerprint => getCrashes(fingerprint) !== undefined,
            );
            const start = digestPosition < fingerprints.length ? digestPosition : 0;
            digestPosition = start + digestLength;
            return fingerprints.slice(start, start + digestLength).map(toReport);
        },
        merge,
        state: () => {
            const all = [...suspects.keys()];
            const quarantined = all
                .filter(isQuarantined)
                .map(fingerprint => ({ fingerprint, servers: listServers(fingerprint) }));
            return { suspects: all.filter(key => listServers(key).length > 0).length, quarantined };
        },
        close: () => {
            isClosed = true;
        },
    };
}
