/** Plain-text output for terminals: tables and nested values. */
import { escapeControls } from "./printable.js";

type Row = Record<string, unknown>;

/** Formats rows under a header line; columns are separated by two spaces. */
export function formatTable(columns: readonly string[], rows: readonly object[]): string {
    const lines = [
        columns.map(formatCell),
        ...rows.map(row => columns.map(column => formatCell((row as Row)[column]))),
    ];
    const widths = columns.map((_, i) => Math.max(...lines.map(line => line[i]!.length)));
    return lines
        .map(line =>
            line
                .map((cell, i) => cell.padEnd(widths[i]!))
                .join("  ")
                .trimEnd(),
        )
        .join("\n");
}

/** Formats any JSON value: simple fields as lines, arrays of objects as tables, nested values under their path. */
export function formatValue(value: unknown, path = ""): string {
    const sections: string[] = [];
    collectSections(value, path, sections);
    return sections.join("\n\n");
}

function collectSections(value: unknown, path: string, sections: string[]): void {
    const heading = path === "" ? "" : `${path}:\n`;
    if (isRowList(value)) {
        const columns = [...new Set(value.flatMap(row => Object.keys(row)))];
        sections.push(`${heading}${formatTable(columns, value)}`);
        return;
    }
    if (!isRow(value)) {
        sections.push(`${heading}${formatCell(value)}`);
        return;
    }
    const entries = Object.entries(value).map(([key, item]) => [formatCell(key), item] as const);
    const simple = entries.filter(([, item]) => !isNested(item));
    if (simple.length > 0 || entries.length === 0) {
        const width = Math.max(0, ...simple.map(([key]) => key.length));
        const lines = simple.map(([key, item]) => `${key.padEnd(width)}  ${formatCell(item)}`);
        sections.push(`${heading}${lines.join("\n") || "-"}`);
    }
    for (const [key, item] of entries.filter(([, nested]) => isNested(nested))) {
        collectSections(item, path === "" ? key : `${path}.${key}`, sections);
    }
}

function isRow(value: unknown): value is Row {
    return typeof value === "object" && !!value && !Array.isArray(value);
}

function isRowList(value: unknown): value is Row[] {
    return Array.isArray(value) && value.length > 0 && value.every(isRow);
}

function isNested(value: unknown): boolean {
    return (isRow(value) && Object.keys(value).length > 0) || isRowList(value);
}

function formatCell(value: unknown): string {
    if (value === undefined || value === "") {
        return "-";
    }
    const isFlatList = Array.isArray(value) && value.every(item => typeof item !== "object");
    const text =
        typeof value === "string" ? value : isFlatList ? value.join(",") : (JSON.stringify(value) ?? "-");
    return escapeControls(text) || "-";
}
