// Bundles the gateway with its libraries into one file under target/, so that it starts without reading many files.
import { build } from "esbuild";

/**
 * Modules of prom-client that the gateway does not use. They load TLS, compression and heap statistics of Node, which takes
 * a good part of a start.
 */
const unusedMetricsModules = /^\.\/lib\/(pushgateway|cluster|defaultMetrics|summary)$/;

/** Resolves unused modules to an empty one. */
const leaveOutUnused = {
    name: "leave-out-unused",
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
    // The UMD form of jsonc-parser loads its parts by a computed require, which a bundle cannot resolve.
    mainFields: ["module", "main"],
    minifySyntax: true,
    minifyWhitespace: true,
    plugins: [leaveOutUnused],
    // Bundled CommonJS libraries call require for the modules of Node.
    banner: {
        js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
    },
    logLevel: "warning",
});
