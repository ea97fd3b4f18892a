/** Result tables of the capacity measurements. */

/** Measured quantity at one size, with a sample for each round. */
export interface CapacityFigure {
    name: string;
    unit: string;
    samples: number[];
}

export interface CapacityRow {
    /** Measured size, such as a number of blocks. */
    size: string;
    figures: CapacityFigure[];
}

export interface CapacityTable {
    title: string;
    /** Header of the size column. */
    sizeName: string;
    rows: CapacityRow[];
}

/** Formats a table as Markdown; each cell has the median, minimum and maximum of the samples. */
export function formatTable(table: CapacityTable): string {
    const figures = table.rows[0]?.figures ?? [];
    const header = [table.sizeName, ...figures.map(figure => `${figure.name} (${figure.unit})`)];
    const lines = [header, header.map(() => "---"), ...table.rows.map(formatRow)];
    return [`### ${table.title}`, "", ...lines.map(cells => `| ${cells.join(" | ")} |`), ""].join("\n");
}

function formatRow(row: CapacityRow): string[] {
    return [row.size, ...row.figures.map(figure => formatSamples(figure.samples))];
}

function formatSamples(samples: readonly number[]): string {
    const sorted = [...samples].sort((a, b) => a - b);
    const median = getMedian(sorted);
    const [min, max] = [sorted[0]!, sorted.at(-1)!];
    return min === max
        ? formatNumber(median)
        : `${formatNumber(median)} (${formatNumber(min)}..${formatNumber(max)})`;
}

function getMedian(sorted: readonly number[]): number {
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

function formatNumber(value: number): string {
    return value.toLocaleString("en-US", { maximumSignificantDigits: 4 });
}
