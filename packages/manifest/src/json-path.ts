/** Paths of values in a JSON document. */

export type JsonPath = readonly (string | number)[];

const plainKey = /^[A-Za-z_$][\w$]*$/;

/** Formats a path such as services[0].name; the root is $. */
export function formatPath(path: JsonPath): string {
    if (path.length === 0) {
        return "$";
    }
    return path.map(formatSegment).join("").replace(/^\./, "");
}

function formatSegment(segment: string | number): string {
    if (typeof segment === "number") {
        return `[${segment}]`;
    }
    return plainKey.test(segment) ? `.${segment}` : `[${JSON.stringify(segment)}]`;
}
