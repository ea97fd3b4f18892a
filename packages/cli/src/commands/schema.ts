/** `schema`: prints the JSON Schema of the manifest. */
import { generateManifestSchema } from "@waxwingdale/manifest";
import type { CommandSpec } from "../command-spec.js";
import { ExitCode } from "../exit-code.js";

const jsonIndent = 4;

export const schemaCommand: CommandSpec = {
    usage: "schema",
    describe: "Print the JSON Schema of the manifest",
    example: "schema > manifest.schema.json",
    run: async ctx => {
        ctx.print(JSON.stringify(generateManifestSchema(), undefined, jsonIndent));
        return ExitCode.Ok;
    },
};
