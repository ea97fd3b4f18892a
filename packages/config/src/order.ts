/** Order of the values of a document: a list of numbers, compared from left to right. */
import * as v from "valibot";

/** For example [generation] or [epoch, step]. All values of a document have orders of the same length. */
export type Order = readonly number[];

const maxParts = 4;

export const orderSchema = v.pipe(
    v.array(v.pipe(v.number(), v.safeInteger(), v.minValue(0))),
    v.minLength(1),
    v.maxLength(maxParts),
);

/** Comparator for orders; undefined comes before every order. */
export function compareOrders(a: Order | undefined, b: Order | undefined): number {
    const length = Math.max(a?.length ?? 0, b?.length ?? 0);
    for (let i = 0; i < length; i++) {
        const difference = (a?.[i] ?? -1) - (b?.[i] ?? -1);
        if (difference !== 0) {
            return difference;
        }
    }
    return 0;
}
