import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { pickOwner, rankOwners } from "@waxwingdale/core";

test("removing a member moves only the keys it owned", () => {
    const members = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 2, maxLength: 12 });
    fc.assert(
        fc.property(members, fc.string(), (ids, key) => {
            const owner = pickOwner(key, ids);
            const other = ids.find(id => id !== owner)!;
            assert.equal(
                pickOwner(
                    key,
                    ids.filter(id => id !== other),
                ),
                owner,
            );
            assert.equal(rankOwners(key, ids)[0], owner);
        }),
    );
});
