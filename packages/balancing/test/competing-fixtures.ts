/** Workspaces that send to one server at steady rates, for the tests of admission among competing callers. */
import { ChoiceKind, createAdmissionControl, createServerLoad } from "@waxwingdale/balancing";
import type {
    BackendState,
    Balancer,
    Choice,
    Placement,
    Refusal,
    RoutedRequest,
    Workspace,
} from "@waxwingdale/balancing";
import { createManualClock, createRandom } from "@waxwingdale/core";
import { createRoute, createServer } from "./fixtures.js";

export function createWorkspace(name: string, priority = 0): Workspace {
    return { name, apiKeys: [name], priority, requestsPerSecond: 0, burst: 0, allowedRegions: [] };
}

/** A service with one server of `slots` slots, which takes no requests beyond them. */
export function createContendedServer(slots: number, workspaces: readonly Workspace[] | undefined) {
    const clock = createManualClock(1000);
    const server = { record: createServer("i-1", "n-a"), load: createServerLoad() } as BackendState;
    const placement = { kind: ChoiceKind.Send, server, expectedMs: 50, workMs: 50 } as Placement;
    const state = { running: 0, slots };
    const choose = (): Choice =>
        state.running < state.slots ? placement : { kind: ChoiceKind.Full, server };
    const admission = createAdmissionControl({
        clock,
        balancer: { choose } as unknown as Balancer,
        workspaces: () => workspaces,
        random: createRandom(1),
    });
    const createRequest = (
        workspace: Workspace | undefined,
        fields: Partial<RoutedRequest> = {},
    ): RoutedRequest => ({
        route: createRoute({ targetLatencyMs: 640 }),
        service: "files",
        workspace,
        objectKey: "1",
        arrivedAt: clock.now(),
        deadlineAt: clock.now() + 3000,
        tried: new Set(),
        ...fields,
    });
    return { clock, admission, state, createRequest };
}

export interface Sender {
    workspace: Workspace;
    requestsPerSecond: number;
}

export interface SenderResult {
    asked: number;
    served: number;
    refusals: Refusal[];
}

export interface Load {
    senders: readonly Sender[];
    slots: number;
    workMs: number;
    /** False for the order without workspaces, to compare with. */
    isFair?: boolean;
}

const durationMs = 10_000;

/** Sends for 10 s. Returns the results by the name of the workspace. */
export async function sendLoad({ senders, slots, workMs, isFair = true }: Load) {
    const workspaces = isFair ? senders.map(({ workspace }) => workspace) : undefined;
    const { clock, admission, state, createRequest } = createContendedServer(slots, workspaces);
    const results = new Map<string, SenderResult>();
    senders.forEach(({ workspace, requestsPerSecond }, index) => {
        const result: SenderResult = { asked: 0, served: 0, refusals: [] };
        results.set(workspace.name, result);
        const send = () => {
            result.asked += 1;
            admission.request(createRequest(workspace), decision => {
                if ("refusal" in decision) {
                    result.refusals.push(decision.refusal);
                    return;
                }
                result.served += 1;
                state.running += 1;
                clock.setTimer(workMs, () => {
                    state.running -= 1;
                    admission.retryWaiting();
                });
            });
        };
        const intervalMs = 1000 / requestsPerSecond;
        const phase = (index * 0.618) % 1;
        for (let at = phase * intervalMs; at < durationMs; at += intervalMs) {
            clock.setTimer(at, send);
        }
    });
    await clock.advance(durationMs + 1000);
    return results;
}

/** Share of the requests that were served. */
export function getShare(results: readonly SenderResult[]): number {
    const sum = (read: (result: SenderResult) => number) =>
        results.reduce((total, result) => total + read(result), 0);
    return sum(({ served }) => served) / sum(({ asked }) => asked);
}
