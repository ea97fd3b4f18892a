/** `show`: prints the active manifest. */
import type { AcceptedManifest } from "@waxwingdale/manifest";
import { requireActiveManifest } from "../active-manifest.js";
import type { CommandSpec } from "../command-spec.js";
import { ExitCode } from "../exit-code.js";
import { formatTable, formatValue } from "../table.js";

const jsonIndent = 4;

export const showCommand: CommandSpec = {
    usage: "show",
    describe: "Show the active manifest",
    options: ["manifest"],
    example: "show --manifest > current.manifest.jsonc",
    run: async ctx => {
        const accepted = await ctx.withStore(requireActiveManifest);
        if (ctx.options.manifest === true) {
            ctx.print(JSON.stringify(accepted.manifest, undefined, jsonIndent));
        } else {
            ctx.printResult(accepted, () => formatAccepted(accepted));
        }
        return ExitCode.Ok;
    },
};

function formatAccepted({ generation, pushId, formatVersion, manifest }: AcceptedManifest): string {
    const capacity = manifest.services.flatMap(({ name, sites }) =>
        sites.map(site => ({ service: name, ...site })),
    );
    const routes = manifest.services.flatMap(({ name, routes: rows }) =>
        rows.map(({ name: route, ...row }) => ({ service: name, route, ...row })),
    );
    const sections = [
        formatValue({
            generation,
            pushId,
            formatVersion,
            deployment: manifest.deployment,
            regions: manifest.regions.map(({ name }) => name),
            storeRegion: manifest.storeRegion,
        }),
        formatTable(["service", "site", "servers", "maxRequestsPerSecond"], capacity),
        formatTable(["service", "route", "methods", "path", "class", "idempotent", "timeoutMs"], routes),
        formatTable(["from", "to", "maxRequestsPerSecond", "maxIncreasePerSecond"], manifest.shiftCaps),
        formatTable(["place", "service", "startsAt", "endsAt"], manifest.drains),
    ];
    return sections.join("\n\n");
}
