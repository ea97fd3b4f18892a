/** Writes docs/config/manifest.schema.json. Run: node --import tsx packages/manifest/src/write-json-schema.ts */
import { writeFileSync } from "node:fs";
import { format } from "prettier";
import { generateManifestSchema } from "./json-schema.js";

const file = new URL("../../../docs/config/manifest.schema.json", import.meta.url);
const text = JSON.stringify(generateManifestSchema(), undefined, 4);
writeFileSync(file, await format(text, { parser: "json", tabWidth: 4, printWidth: 110 }));
