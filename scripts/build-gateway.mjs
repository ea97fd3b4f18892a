// Bundles the gateway with its libraries into one file under target/, so that it starts without reading many files.
import { build } from "esbuild";

await build({
    entryPoints: ["packages/gateway/src/bin/waxwingdale-gateway.ts"],
    outdir: "target",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // The UMD form of jsonc-parser loads its parts by a computed require, which a bundle cannot resolve.
    mainFields: ["module", "main"],
    minifySyntax: true,
    // Bundled CommonJS libraries call require for the modules of Node.
    banner: {
        js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
    },
    logLevel: "warning",
});
