/** Options of all benchmarks. */
export interface BenchOptions {
    seed: number;
    rounds: number;
    /** Runs only the cases whose name contains this string. */
    only?: string;
}
