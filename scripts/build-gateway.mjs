// Bundles the gateway and its dependencies into a single file under target/, so that startup reads few files.
import { build } from "esbuild";

/**
 * Modules of prom-client that the gateway does not use. They load the TLS, compression and heap statistics modules of
 * Node.js, which takes a large part of the startup time.
 */
const unusedMetricsModules = /^\.\/lib\/(pushgateway|cluster|defaultMetrics|summary)$/;

/** esbuild plugin that replaces unused modules with an empty module. */
const stubUnusedModules = {
    name: "stub-unused-modules",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: unusedMetricsModules }, ({ path }) => ({ path, namespace: "unused" }));
        onLoad({ filter: /.*/, namespace: "unused" }, () => ({ contents: "module.exports = undefined;" }));
    },
};

await build({
    entryPoints: ["packages/gateway/src/bin/waxwingdale-gateway.ts"],
    outdir: "target",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // The UMD build of jsonc-parser uses a computed require, which esbuild cannot resolve, so prefer ES modules.
    mainFields: ["module", "main"],
    minifySyntax: true,
    minifyWhitespace: true,
    plugins: [stubUnusedModules],
    // Bundled CommonJS dependencies require built-in modules of Node.js.
    banner: {
        js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
    },
    logLevel: "warning",
});
