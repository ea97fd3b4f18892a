// Bundles the binaries of each package, as listed in the "bin" field of its package.json, into its dist folder.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";
import { build } from "esbuild";

const root = JSON.parse(readFileSync("package.json", "utf8"));
const external = [...Object.keys(root.dependencies), ...Object.keys(root.devDependencies)];

/** Returns the source files of the binaries of a package. */
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
