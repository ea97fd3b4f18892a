/** Options that every benchmark takes. */
export interface BenchOptions {
    seed: number;
    rounds: number;
    /** Run only the cases whose name contains this text. */
    only?: string;
}
