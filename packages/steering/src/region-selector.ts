/** Smooth weighted round robin: in any sequence of requests, each region gets its share to within about one request. */
export interface RegionSelector {
    /** Changes the weights. Regions keep their credits, so that frequent changes do not skew the shares. */
    setWeights(weights: ReadonlyMap<string, number>): void;
    pick(): string | undefined;
}

export function createRegionSelector(): RegionSelector {
    let candidates: { region: string; weight: number; credit: number }[] = [];
    return {
        setWeights: weights => {
            const credits = new Map(candidates.map(option => [option.region, option.credit]));
            candidates = [...weights]
                .filter(([, weight]) => weight > 0)
                .map(([region, weight]) => ({ region, weight, credit: credits.get(region) ?? 0 }));
        },
        pick: () => {
            let best = candidates[0];
            let total = 0;
            for (const option of candidates) {
                option.credit += option.weight;
                total += option.weight;
                if (option.credit > best!.credit) {
                    best = option;
                }
            }
            if (best) {
                best.credit -= total;
            }
            return best?.region;
        },
    };
}
