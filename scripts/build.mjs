// Bundles each binary into the dist folder of its package. A package lists its binaries in the "bin" field.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";
import { build } from "esbuild";

const root = JSON.parse(readFileSync("package.json", "utf8"));
const external = [...Object.keys(root.dependencies), ...Object.keys(root.devDependencies)];

/** Lists the source file of each binary of a package. */
function listEntryPoints(pkg) {
    const manifest = JSON.parse(readFileSync(join("packages", pkg, "package.json"), "utf8"));
    return Object.values(manifest.bin ?? {}).map(path =>
        join("packages", pkg, "src", "bin", `${basename(path, ".js")}.ts`),
    );
}

for (const pkg of readdirSync("packages")) {
    const entryPoints = listEntryPoints(pkg).filter(path => existsSync(path));
    if (entryPoints.length === 0) {
        continue;
    }
    await build({
        entryPoints,
        outdir: join("packages", pkg, "dist"),
        bundle: true,
        platform: "node",
        target: "node20",
        format: "esm",
        sourcemap: true,
        external,
        banner: { js: "#!/usr/bin/env node" },
        logLevel: "warning",
    });
}
