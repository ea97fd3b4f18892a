/** JSON Schema of the manifest, for editors and CI pipelines. */
import { toJsonSchema } from "@valibot/to-json-schema";
import { manifestSchema } from "./manifest-schema.js";

/** Generates the schema that is committed as docs/config/manifest.schema.json. */
export function generateManifestSchema(): Record<string, unknown> {
    const schema = toJsonSchema(manifestSchema, { typeMode: "input" });
    return { ...schema, title: "Waxwingdale manifest" };
}
