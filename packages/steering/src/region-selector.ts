/** Smooth weighted selection: in any run of requests each region gets its share to within one request or so. */
export interface RegionSelector {
    /** Changes the weights. What a region is owed so far is kept, so frequent changes do not skew the shares. */
    setWeights(weights: ReadonlyMap<string, number>): void;
    pick(): string | undefined;
}

export function createRegionSelector(): RegionSelector {
    let options: { region: string; weight: number; credit: number }[] = [];
    return {
        setWeights: weights => {
            const credits = new Map(options.map(option => [option.region, option.credit]));
            options = [...weights]
                .filter(([, weight]) => weight > 0)
                .map(([region, weight]) => ({ region, weight, credit: credits.get(region) ?? 0 }));
        },
        pick: () => {
            let best = options[0];
            let total = 0;
            for (const option of options) {
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
