/** `drain-status`: shows the progress of the drains in the active manifest. */
import { InstanceRole, InstanceState } from "@waxwingdale/core";
import type { InstanceRecord } from "@waxwingdale/core";
import { parseIsoTime } from "@waxwingdale/manifest";
import type { DrainSpec, Manifest } from "@waxwingdale/manifest";
import { requireActiveManifest } from "../active-manifest.js";
import type { CommandSpec } from "../command-spec.js";
import { ExitCode } from "../exit-code.js";
import { formatTable } from "../table.js";

enum DrainPhase {
    Planned = "planned",
    Active = "active",
    Ended = "ended",
}

interface DrainRow {
    place: string;
    service: string;
    phase: DrainPhase;
    startsAt: string;
    endsAt: string | undefined;
    /** Number of backend servers in the platform's list, by state. */
    liveServers: number;
    leavingServers: number;
}

export const drainStatusCommand: CommandSpec = {
    usage: "drain-status [place]",
    describe: "Show the drains of the active manifest and the servers that the platform lists at each place",
    example: "drain-status north-a --store 10.0.0.5:7400",
    run: async (ctx, place) => {
        const { accepted, instances } = await ctx.withStore(async store => ({
            accepted: await requireActiveManifest(store),
            instances: await store.listInstances(),
        }));
        const { manifest, generation } = accepted;
        const rows = manifest.drains
            .filter(drain => place === undefined || drain.place === place)
            .map(drain => describeDrain(manifest, drain, instances, ctx.clock.wallTime()));
        ctx.printResult({ generation, drains: rows }, () =>
            rows.length === 0
                ? `no drains${place === undefined ? "" : ` of ${place}`} in generation ${generation}`
                : formatTable(
                      ["place", "service", "phase", "startsAt", "endsAt", "liveServers", "leavingServers"],
                      rows,
                  ),
        );
        return ExitCode.Ok;
    },
};

function describeDrain(
    manifest: Manifest,
    drain: DrainSpec,
    instances: readonly InstanceRecord[],
    now: number,
): DrainRow {
    const servers = instances.filter(row => isAffected(manifest, drain, row));
    const leaving = servers.filter(({ state }) => state === InstanceState.Leaving).length;
    return {
        place: drain.place,
        service: drain.service ?? "all",
        phase: getPhase(drain, now),
        startsAt: drain.startsAt,
        endsAt: drain.endsAt,
        liveServers: servers.length - leaving,
        leavingServers: leaving,
    };
}

function isAffected(manifest: Manifest, drain: DrainSpec, row: InstanceRecord): boolean {
    const isService = drain.service === undefined || drain.service === row.service;
    const site = manifest.sites.find(({ name }) => name === drain.place);
    const isPlace =
        row.region === drain.place ||
        (row.site === undefined
            ? row.region === site?.region && row.zone === site.zone
            : row.site === drain.place);
    return row.role === InstanceRole.BackendServer && isService && isPlace;
}

function getPhase(drain: DrainSpec, now: number): DrainPhase {
    if (now < (parseIsoTime(drain.startsAt) ?? Infinity)) {
        return DrainPhase.Planned;
    }
    const end = drain.endsAt === undefined ? Infinity : (parseIsoTime(drain.endsAt) ?? Infinity);
    return now < end ? DrainPhase.Active : DrainPhase.Ended;
}
