/** Random source. Decision logic takes one as a parameter so that tests are repeatable. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";

/** Returns a number that is at least 0 and less than 1. */
export type Random = () => number;

const resolution = 2 ** 30;

/** Creates a repeatable random source. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return () => uniformInt(generator, 0, resolution - 1) / resolution;
}
