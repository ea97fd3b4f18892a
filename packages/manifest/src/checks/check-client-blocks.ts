/** Checks the client address blocks. Nested blocks are allowed: the longest prefix wins. */
import { formatIpv4, getNetworkAddress, parseIpv4Block } from "../ipv4-block.js";
import type { JsonPath } from "../json-path.js";
import { ProblemCode } from "../problem.js";
import type { ClientBlockSpec } from "../types.js";
import { checkReference, asWarning } from "./check-context.js";
import type { CheckContext } from "./check-context.js";

/** Checks notation, host bits, regions and duplicate blocks. */
export function checkClientBlocks(ctx: CheckContext): void {
    const regionByBlock = new Map<string, string>();
    ctx.manifest.clientBlocks.forEach((row, i) => {
        const path = ["clientBlocks", i, "block"];
        if (!ctx.regions.has(row.region)) {
            checkReference(ctx, "region", row.region, ctx.regions.keys(), ["clientBlocks", i, "region"]);
        }
        const key = checkNotation(ctx, row, path);
        if (key === undefined) {
            return;
        }
        const earlierRegion = regionByBlock.get(key);
        if (earlierRegion !== undefined) {
            reportDuplicate(ctx, row, earlierRegion, path);
        }
        regionByBlock.set(key, row.region);
    });
}

/** Returns the block in canonical notation, or undefined if it is malformed. */
function checkNotation(ctx: CheckContext, row: ClientBlockSpec, path: JsonPath): string | undefined {
    const block = parseIpv4Block(row.block);
    if (block === undefined) {
        ctx.report(path, {
            code: ProblemCode.BadFormat,
            message: `"${row.block}" is not an IPv4 block`,
            expected: "four numbers up to 255 and a prefix length up to 32, such as 10.1.0.0/16",
            fix: "correct the block",
        });
        return undefined;
    }
    const network = getNetworkAddress(block);
    const canonical = `${formatIpv4(network)}/${block.prefixLength}`;
    if (network !== block.address) {
        ctx.report(path, {
            code: ProblemCode.HostBits,
            message: `"${row.block}" has host bits set`,
            expected: "an address without host bits",
            fix: `use "${canonical}" or a longer prefix`,
        });
    }
    return canonical;
}

function reportDuplicate(
    ctx: CheckContext,
    row: ClientBlockSpec,
    earlierRegion: string,
    path: JsonPath,
): void {
    if (earlierRegion === row.region) {
        ctx.report(
            path,
            asWarning({
                code: ProblemCode.NoEffect,
                message: `duplicate block ${row.block}`,
                expected: "each block once",
                fix: "remove one of them",
            }),
        );
        return;
    }
    ctx.report(path, {
        code: ProblemCode.BlockConflict,
        message: `the block ${row.block} is assigned to both "${earlierRegion}" and "${row.region}"`,
        expected: "one region per block",
        fix: "remove one of them or use longer prefixes",
    });
}
