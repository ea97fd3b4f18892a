/**
 * Quotas of workspaces across all instances. The owner of a workspace, selected by rendezvous hashing, lends tokens to the
 * others in batched calls. Safety does not depend on the calls: a token of a lost answer is lost.
 */
import {
    QuotaVerdict,
    admittedByQuota,
    createQuotaAccount,
    createQuotaLedger,
    getTokenLifetimeMs,
    planQuota,
} from "@waxwingdale/balancing";
import type {
    QuotaAccount,
    QuotaBounds,
    QuotaDecision,
    QuotaDemand,
    QuotaGate,
    QuotaPlan,
    Workspace,
} from "@waxwingdale/balancing";
import { getErrorMessage, pickOwner } from "@waxwingdale/core";
import type { Clock, Logger, MemberView, PeerTransport, RpcRegistry } from "@waxwingdale/core";
import * as v from "valibot";
import type { InstanceCounts } from "./instance-counts.js";
import type { InstanceTopology } from "./instance-topology.js";
import { createRotation } from "./rotation.js";
import { createQuotaLog } from "./quota-log.js";
import { borrowMethod, borrowReplySchema, borrowRequestSchema, maxDemands } from "./quota-messages.js";
import type { BorrowReply, BorrowRequest } from "./quota-messages.js";

/** Totals since the start, and the debt at this moment. */
export interface QuotaTotals {
    rejected: number;
    unavailable: number;
    borrowed: number;
    calls: number;
    debt: number;
}

export interface QuotaExchange extends QuotaGate {
    /** Applies the workspaces of a configuration. */
    setWorkspaces(workspaces: readonly Workspace[] | undefined): void;
    /** Borrows until the signal aborts. */
    run(signal: AbortSignal): void;
    totals(): QuotaTotals;
    /** Returns the owner, tokens and demand of each workspace. */
    describe(): unknown;
}

export interface QuotaExchangeOptions {
    members: () => MemberView;
    topology: InstanceTopology;
    counts: InstanceCounts;
    /** Whether this instance has been in contact with a peer, or is alone. */
    isJoined: () => boolean;
    bounds: () => QuotaBounds;
    transport: PeerTransport;
    rpc: RpcRegistry;
    clock: Clock;
    logger: Logger;
}

interface Entry {
    workspace: Workspace;
    plan: QuotaPlan;
    account: QuotaAccount;
}

/** Calls to one owner. */
interface OwnerLink {
    isCalling: boolean;
    /** Clock time of the start of the last call. */
    calledAt: number;
    isUnreachable: boolean;
    /** Whether the last call failed or reached an instance that does not lend. */
    hasFailed: boolean;
    isScheduled: boolean;
}

/**
 * Time in milliseconds from becoming the owner of a workspace until the first loan: views of the members differ for 1.5 s,
 * and what the previous owner lends until then lives for 1 s.
 */
export const takeoverMs = 2500;
/** Interval in milliseconds of the checks for expired tokens, late requests and calls that are due. */
const tickMs = 50;
/** Delay in milliseconds of a check that counts as a pause. It is below the time in which another instance takes over. */
const pauseMs = 1000;
/** Time in milliseconds in which requests that wait are collected for one call. */
const coalesceMs = 5;
/** Minimum time in milliseconds between the starts of two calls to an owner. */
const minCallGapMs = 40;
/** The same after a call that failed or reached an instance that does not lend. */
const retryGapMs = 100;
/** Timeout of a call in milliseconds: a round trip between regions and the delay of a busy instance. */
const callTimeoutMs = 300;

function areEqual(ids: readonly string[], others: readonly string[]): boolean {
    return ids === others || (ids.length === others.length && ids.every((id, index) => id === others[index]));
}

export function createQuotaExchange(options: QuotaExchangeOptions): QuotaExchange {
    const { clock, logger, topology, counts, transport } = options;
    const startedAt = clock.now();
    const self = options.members().self();
    const borrower = { id: self.id, session: self.session };
    const entries = new Map<string, Entry>();
    const links = new Map<string, OwnerLink>();
    const log = createQuotaLog(clock, logger);
    const takeAsked = createRotation<Entry>();
    const totals = { rejected: 0, unavailable: 0, borrowed: 0, calls: 0 };
    let workspaces: readonly Workspace[] = [];
    let tickedAt = startedAt;
    /** Number of the last call, to whichever owner: an owner that has been away still knows the earlier ones. */
    let sequence = 0;
    let owners = new Map<string, string>();
    /** Large instances and workspaces from which the owners were selected. */
    let ownersOf: { ids: readonly string[]; workspaces: readonly Workspace[] } | undefined;

    const tokenLifetimeMs = () => getTokenLifetimeMs(options.bounds());
    const borrowIntervalMs = () => tokenLifetimeMs() / 2;

    const ledger = createQuotaLedger({
        bounds: options.bounds,
        share: () => counts.visibleShare(),
        tokenLifetimeMs,
        takeoverMs,
    });

    const updateOwners = () => {
        const ids = topology.large();
        if (ownersOf?.workspaces !== workspaces || !areEqual(ownersOf.ids, ids)) {
            ownersOf = { ids, workspaces };
            owners = new Map(workspaces.map(({ name }) => [name, pickOwner(name, ids) ?? self.id]));
        }
    };

    /** Gives up tokens and ownership after a pause of the process: others may have taken over meanwhile. */
    const handlePause = () => {
        ledger.update([], clock.now());
        entries.forEach(({ account }) => account.cut(0));
    };

    /** Handles messages that arrive before the first check after a pause as well. */
    const checkForPause = () => {
        if (clock.now() - tickedAt >= pauseMs) {
            handlePause();
        }
        tickedAt = clock.now();
    };

    const updateLedger = () => {
        const owned = options.isJoined() ? workspaces.filter(({ name }) => owners.get(name) === self.id) : [];
        ledger.update(owned, clock.now());
    };

    /** After a restart, the requests that the previous process admitted in debt still count for one window. */
    const getDebtLimit = ({ plan }: Entry) => {
        const mayOwe =
            clock.now() - startedAt >= options.bounds().windowMs + takeoverMs &&
            topology.large().includes(self.id);
        return mayOwe ? Math.floor(plan.debt / counts.divisor()) : 0;
    };

    const createEntry = (workspace: Workspace): Entry => {
        const { windowMs } = options.bounds();
        const account = createQuotaAccount({
            windowMs,
            borrowIntervalMs: borrowIntervalMs(),
            tokenLifetimeMs: tokenLifetimeMs(),
        });
        const entry = { workspace, plan: planQuota(workspace, options.bounds()), account };
        account.setDebtLimit(getDebtLimit(entry));
        return entry;
    };

    const getEntry = (workspace: Workspace): Entry => {
        let entry = entries.get(workspace.name);
        if (entry === undefined) {
            entry = createEntry(workspace);
            entries.set(workspace.name, entry);
        }
        return entry;
    };

    const count = (workspace: string, { verdict }: QuotaDecision) => {
        if (verdict === QuotaVerdict.Exceeded) {
            totals.rejected += 1;
            log.recordRejection(workspace);
        } else if (verdict === QuotaVerdict.Unavailable) {
            totals.unavailable += 1;
        }
    };

    const lendToSelf = ({ workspace, account }: Entry) => {
        const now = clock.now();
        const demand = account.getDemand(now);
        const grant = ledger.lend(workspace.name, borrower, demand, now);
        if (grant !== undefined) {
            account.applyGrant(grant, now, now);
        } else {
            account.awaitOwner(ledger.lendsInMs(workspace.name, now) ?? 0, now);
        }
    };

    const getLink = (owner: string): OwnerLink => {
        let link = links.get(owner);
        if (link === undefined) {
            link = {
                isCalling: false,
                calledAt: -Infinity,
                isUnreachable: false,
                hasFailed: false,
                isScheduled: false,
            };
            links.set(owner, link);
        }
        return link;
    };

    const entriesOf = (owner: string) =>
        [...entries.values()].filter(({ workspace }) => owners.get(workspace.name) === owner);

    const recordSuccess = (owner: string, link: OwnerLink) => {
        if (link.isUnreachable) {
            link.isUnreachable = false;
            logger.info("quota-owner-reachable", { owner });
        }
    };

    const recordFailure = (owner: string, link: OwnerLink, err: unknown) => {
        link.hasFailed = true;
        if (!link.isUnreachable) {
            link.isUnreachable = true;
            logger.warn("quota-owner-unreachable", { owner, error: getErrorMessage(err) });
        }
    };

    /** Ignores grants of an instance that has ceased to be the owner, and more tokens than were requested. */
    const applyReply = (
        owner: string,
        { grants, notLent }: BorrowReply,
        demands: ReadonlyMap<string, QuotaDemand>,
        sentAt: number,
    ) => {
        updateOwners();
        getLink(owner).hasFailed = notLent.length > 0;
        for (const { workspace, granted, nextTokenMs } of grants) {
            const demand = demands.get(workspace);
            const entry = entries.get(workspace);
            if (demand !== undefined && entry !== undefined && owners.get(workspace) === owner) {
                const accepted = Math.min(granted, demand.owed + demand.needed + demand.ahead);
                totals.borrowed += accepted;
                entry.account.applyGrant({ granted: accepted, nextTokenMs }, sentAt, clock.now());
            }
        }
        for (const { workspace, lendsInMs = 0 } of notLent) {
            if (owners.get(workspace) === owner) {
                entries.get(workspace)?.account.awaitOwner(lendsInMs, clock.now());
            }
        }
    };

    const call = async (owner: string, asked: readonly Entry[]) => {
        const link = getLink(owner);
        const sentAt = clock.now();
        const demands = new Map(
            asked.map(({ workspace, account }) => [workspace.name, account.getDemand(sentAt)]),
        );
        link.isCalling = true;
        link.calledAt = sentAt;
        sequence += 1;
        totals.calls += 1;
        const req: BorrowRequest = {
            session: borrower.session,
            sequence,
            demands: [...demands].map(([workspace, demand]) => ({ workspace, ...demand })),
        };
        let reply: BorrowReply | undefined;
        try {
            const address = options.members().find(owner)?.peerAddress ?? "";
            const response = await transport.call<unknown>(address, borrowMethod, req, callTimeoutMs);
            reply = v.parse(borrowReplySchema, response);
        } catch (err) {
            recordFailure(owner, link, err);
        }
        link.isCalling = false;
        if (reply !== undefined) {
            recordSuccess(owner, link);
            applyReply(owner, reply, demands, sentAt);
        }
        if (entriesOf(owner).some(({ account }) => account.waiting() > 0)) {
            callSoon(owner);
        }
    };

    /** Calls an owner for the requests that wait. */
    const callSoon = (owner: string) => {
        const link = getLink(owner);
        if (link.isCalling || link.isScheduled) {
            return;
        }
        const gapMs = link.hasFailed ? retryGapMs : minCallGapMs;
        link.isScheduled = true;
        clock.setTimer(Math.max(coalesceMs, link.calledAt + gapMs - clock.now()), () => {
            link.isScheduled = false;
            callNow(owner);
        });
    };

    const callNow = (owner: string) => {
        const now = clock.now();
        const asked = takeAsked(
            entriesOf(owner).filter(({ account }) => !account.isIdle(now)),
            maxDemands,
        );
        if (!getLink(owner).isCalling && asked.length > 0) {
            void call(owner, asked);
        }
    };

    const callDueOwners = () => {
        const now = clock.now();
        const asked = new Set<string>();
        for (const { workspace, account } of entries.values()) {
            const owner = owners.get(workspace.name);
            if (owner !== undefined && owner !== self.id && !account.isIdle(now)) {
                asked.add(owner);
            }
        }
        [...asked]
            .filter(owner => now - getLink(owner).calledAt >= borrowIntervalMs())
            .forEach(owner => callNow(owner));
    };

    /** Keeps links with a call, since a second call at the same time would not report what the first one brings. */
    const forgetLinks = () => {
        const ids = new Set(topology.large());
        const isUnused = ([id, link]: [string, OwnerLink]) => !ids.has(id) && !link.isCalling;
        [...links].filter(isUnused).forEach(([id]) => links.delete(id));
    };

    const tick = () => {
        checkForPause();
        counts.update();
        log.update();
        updateOwners();
        updateLedger();
        forgetLinks();
        const now = clock.now();
        for (const entry of entries.values()) {
            entry.account.setDebtLimit(getDebtLimit(entry));
            entry.account.expire(now);
            if (owners.get(entry.workspace.name) === self.id && !entry.account.isIdle(now)) {
                lendToSelf(entry);
            }
        }
        callDueOwners();
    };

    const applyWorkspace = (entry: Entry, workspace: Workspace | undefined) => {
        if (workspace === undefined || workspace.requestsPerSecond <= 0) {
            entries.delete(entry.workspace.name);
            entry.account.close();
            return;
        }
        const plan = planQuota(workspace, options.bounds());
        entry.account.cut(Math.min(1, plan.stock / entry.plan.stock));
        entry.workspace = workspace;
        entry.plan = plan;
        entry.account.setDebtLimit(getDebtLimit(entry));
    };

    options.rpc.addMethod(borrowMethod, (params, from) => {
        const { session, sequence: received, demands } = v.parse(borrowRequestSchema, params);
        checkForPause();
        const caller = { id: from, session };
        const reply: BorrowReply = { grants: [], notLent: [] };
        if (!ledger.isCurrent(caller, received)) {
            return reply;
        }
        for (const { workspace, ...demand } of demands) {
            const grant = ledger.lend(workspace, caller, demand, clock.now());
            if (grant === undefined) {
                reply.notLent.push({ workspace, lendsInMs: ledger.lendsInMs(workspace, clock.now()) });
            } else {
                reply.grants.push({ workspace, ...grant });
            }
        }
        return reply;
    });

    return {
        acquire: (workspace, onDecision) => {
            if (workspace.requestsPerSecond <= 0) {
                onDecision(admittedByQuota);
                return;
            }
            checkForPause();
            const entry = getEntry(workspace);
            const owner = owners.get(workspace.name);
            const isDecided = entry.account.acquire(decision => {
                count(workspace.name, decision);
                onDecision(decision);
            }, clock.now());
            if (owner === self.id) {
                if (!isDecided || entry.account.debt() > 0) {
                    lendToSelf(entry);
                }
            } else if (!isDecided && owner !== undefined) {
                callSoon(owner);
            }
        },
        refund: workspace => entries.get(workspace.name)?.account.refund(clock.now()),
        setWorkspaces: list => {
            workspaces = (list ?? []).filter(({ requestsPerSecond }) => requestsPerSecond > 0);
            const byName = new Map(workspaces.map(workspace => [workspace.name, workspace]));
            [...entries.values()].forEach(entry => applyWorkspace(entry, byName.get(entry.workspace.name)));
            updateOwners();
            updateLedger();
        },
        run: signal => {
            const loop = () => {
                if (!signal.aborted) {
                    tick();
                    clock.setTimer(tickMs, loop);
                }
            };
            loop();
        },
        totals: () => ({
            ...totals,
            debt: [...entries.values()].reduce((sum, { account }) => sum + account.debt(), 0),
        }),
        describe: () =>
            workspaces.map(({ name }) => {
                const account = entries.get(name)?.account;
                return {
                    workspace: name,
                    owner: owners.get(name),
                    tokens: account?.tokens() ?? 0,
                    debt: account?.debt() ?? 0,
                    demand: Number((account?.demand(clock.now()) ?? 0).toFixed(1)),
                    lending: ledger.describe(name),
                };
            }),
    };
}
