/** Random source. Code that makes random choices takes one as a parameter so that tests are reproducible. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";

/** Returns a number in the range [0, 1). */
export type Random = () => number;

const resolution = 2 ** 30;

/** Creates a seeded random source. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return () => uniformInt(generator, 0, resolution - 1) / resolution;
}
