/** Finds unknown, missing and duplicate keys. Valibot reports only the first unknown key of an object. */
import { getNodeValue } from "jsonc-parser";
import type { Node } from "jsonc-parser";
import type { GenericSchema } from "valibot";
import { formatPath } from "./json-path.js";
import type { JsonPath } from "./json-path.js";
import type { ManifestSource } from "./manifest-source.js";
import { ProblemCode } from "./problem.js";
import type { Finding, Problem } from "./problem.js";
import { suggestName } from "./suggestion.js";

/** Properties of a schema that the traversal uses. */
interface SchemaShape {
    type: string;
    entries?: Record<string, GenericSchema>;
    item?: GenericSchema;
}

/**
 * Builds the value of a syntax tree and adds the problems of all keys. Unknown keys are omitted from the value, and
 * the first of duplicate keys is used, so that the rest can be checked.
 */
export function buildValue(
    root: Node,
    schema: GenericSchema,
    source: ManifestSource,
    problems: Problem[],
): unknown {
    const build = (node: Node, nodeSchema: GenericSchema, path: JsonPath): unknown => {
        const { entries, item } = getShape(nodeSchema);
        if (entries !== undefined && node.type === "object") {
            return buildObject(node, entries, path);
        }
        if (item !== undefined && node.type === "array") {
            return (node.children ?? []).map((child, i) => build(child, item, [...path, i]));
        }
        // Valibot accepts an array as an object without keys; a string leads to the right message.
        return entries !== undefined && node.type === "array" ? "an array" : getNodeValue(node);
    };

    const buildObject = (node: Node, entries: Record<string, GenericSchema>, path: JsonPath) => {
        const object: Record<string, unknown> = {};
        const seen = new Set<string>();
        for (const property of node.children ?? []) {
            const [keyNode, valueNode] = property.children ?? [];
            const key = String(keyNode?.value);
            const report = (finding: Finding) => {
                const offset = keyNode?.offset ?? property.offset;
                problems.push(source.problemAtOffset(offset, [...path, key], finding));
            };
            if (seen.has(key)) {
                report(describeDuplicateKey(key));
            } else if (!Object.hasOwn(entries, key)) {
                report(describeUnknownKey(key, Object.keys(entries)));
            } else if (valueNode !== undefined) {
                object[key] = build(valueNode, entries[key]!, [...path, key]);
            }
            seen.add(key);
        }
        for (const [key, entry] of Object.entries(entries)) {
            if (!seen.has(key) && getShape(entry).type !== "optional") {
                problems.push(source.problemAt(path, describeMissingKey(key, path)));
            }
        }
        return object;
    };

    return build(root, schema, []);
}

function getShape(schema: GenericSchema): SchemaShape {
    return schema;
}

function describeDuplicateKey(key: string): Finding {
    return {
        code: ProblemCode.DuplicateKey,
        message: `duplicate key ${JSON.stringify(key)} in this object`,
        expected: "each key once",
        fix: "remove one of them",
    };
}

function describeUnknownKey(key: string, known: readonly string[]): Finding {
    const similar = suggestName(key, known);
    return {
        code: ProblemCode.UnknownKey,
        message: `unknown key ${JSON.stringify(key)}`,
        expected: `one of ${known.join(", ")}`,
        fix: similar === undefined ? "remove the key" : `did you mean "${similar}"?`,
    };
}

function describeMissingKey(key: string, path: JsonPath): Finding {
    return {
        code: ProblemCode.MissingKey,
        message: `missing key "${key}"`,
        expected: `"${key}" in ${formatPath(path)}`,
        fix: `add "${key}"`,
    };
}
