/** Records changes of the manifest, members and drains in the trace of an entry. */
import type { BackendServer } from "@waxwingdale/core";
import { DrainSource } from "@waxwingdale/backends";
import { isSiteDrained } from "@waxwingdale/manifest";
import { tokens } from "./entry-tokens.js";
import type { Resolve } from "@waxwingdale/core";

/** Subscribes to the changes. When a recording starts, the current state is recorded first. */
export function addTraceListeners(resolve: Resolve): void {
    const recorder = resolve(tokens.trace);
    const tap = resolve(tokens.traceTap);
    const config = resolve(tokens.config);
    const membership = resolve(tokens.membership);
    const backends = resolve(tokens.backends);
    let members = new Map<string, string>();
    let draining = new Set<string>();

    const recordMembers = () => {
        const next = new Map<string, string>();
        for (const member of membership.members()) {
            const state = `${member.status} ${member.ready}`;
            next.set(member.id, state);
            if (members.get(member.id) !== state) {
                tap.recordMember(member);
            }
        }
        members = next;
    };

    const recordDrains = () => {
        const next = new Set<string>();
        for (const server of backends.servers()) {
            if (server.draining) {
                next.add(server.id);
            }
            if (server.draining !== draining.has(server.id)) {
                tap.recordDrain(server.id, findDrainSource(resolve, server), server.draining);
            }
        }
        draining = next;
    };

    config.onChange(accepted => tap.recordManifest(accepted));
    membership.onChange(() => {
        if (recorder.isRecording()) {
            recordMembers();
        }
    });
    backends.onChange(() => {
        if (recorder.isRecording()) {
            recordDrains();
        }
    });
    recorder.onStart(() => {
        members = new Map();
        draining = new Set();
        const accepted = config.current();
        const plan = resolve(tokens.steering).currentPlan();
        if (accepted !== undefined) {
            tap.recordManifest(accepted);
        }
        if (plan !== undefined) {
            tap.recordAppliedPlan(plan);
        }
        recordMembers();
        recordDrains();
    });
}

/** Returns why a server is draining: because of a mark, the manifest or the instance list. */
function findDrainSource(resolve: Resolve, server: BackendServer): string {
    const { marks } = resolve(tokens.backends).state() as {
        marks: Record<string, { source: DrainSource } | undefined>;
    };
    const mark = marks[server.id];
    if (mark !== undefined) {
        return mark.source;
    }
    const wallTime = resolve(tokens.context).clock.wallTime();
    const manifest = resolve(tokens.config).current()?.manifest;
    const isDeclared = manifest?.sites.some(
        site => site.name === server.site && isSiteDrained(manifest, server.service, site, wallTime),
    );
    return isDeclared === true ? DrainSource.Manifest : DrainSource.InstanceList;
}
