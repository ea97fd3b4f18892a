/** Rows that a capacity measurement returns. */

/** One measured quantity at one size, with a sample for each round. */
export interface CapacityFigure {
    name: string;
    unit: string;
    samples: number[];
}

export interface CapacityRow {
    /** Size that was measured, such as a number of blocks. */
    size: string;
    figures: CapacityFigure[];
}

export interface CapacityTable {
    title: string;
    /** What `size` of the rows counts. */
    sizeName: string;
    rows: CapacityRow[];
}

/** Formats a table in Markdown; each cell is the median with the least and the greatest sample. */
export function formatTable(table: CapacityTable): string {
    const figures = table.rows[0]?.figures ?? [];
    const head = [table.sizeName, ...figures.map(figure => `${figure.name} (${figure.unit})`)];
    const lines = [head, head.map(() => "---"), ...table.rows.map(formatRow)];
    return [`### ${table.title}`, "", ...lines.map(cells => `| ${cells.join(" | ")} |`), ""].join("\n");
}

function formatRow(row: CapacityRow): string[] {
    return [row.size, ...row.figures.map(figure => formatSamples(figure.samples))];
}

function formatSamples(samples: readonly number[]): string {
    const sorted = [...samples].sort((a, b) => a - b);
    const median = getMedian(sorted);
    const [least, greatest] = [sorted[0]!, sorted.at(-1)!];
    return least === greatest
        ? formatNumber(median)
        : `${formatNumber(median)} (${formatNumber(least)}..${formatNumber(greatest)})`;
}

function getMedian(sorted: readonly number[]): number {
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

function formatNumber(value: number): string {
    return value.toLocaleString("en-US", { maximumSignificantDigits: 4 });
}
