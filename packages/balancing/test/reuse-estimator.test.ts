/** Where the copies of an object are. Pattern: many instances, many objects, few requests of each instance for an object. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandom } from "@waxwingdale/core";
import { ChoiceKind, ServerOutcome, createReuseEstimator, estimateObjects } from "@waxwingdale/balancing";
import type { Placement } from "@waxwingdale/balancing";
import { createInstance, createServer } from "./fixtures.js";
import type { Instance } from "./fixtures.js";

test("the number of objects follows from how many of them came twice", () => {
    const random = createRandom(5);
    for (const objects of [40, 300, 2000]) {
        const requests = 400;
        const seen = new Set(Array.from({ length: requests }, () => Math.floor(random() * objects)));
        const estimate = estimateObjects(requests, seen.size);
        assert.ok(estimate > objects * 0.7 && estimate < objects * 1.4, `${estimate} of ${objects}`);
    }
    assert.equal(estimateObjects(20, 20), Infinity);
});

test("the uses of a copy grow with the instances of the zone and fall with the objects", () => {
    const measure = (instances: number, objects: number) => {
        const random = createRandom(3);
        const copies = createReuseEstimator({ instancesInZone: () => instances });
        copies.adapt(0);
        for (let now = 0; now < 9000; now += 30) {
            copies.count("find", String(Math.floor(random() * objects)));
        }
        copies.adapt(9000);
        return copies.usesPerCopy("find");
    };
    // 33 requests a second of each instance for 30 s.
    const expected = (instances: number, objects: number) => (1000 * instances) / objects;
    for (const [instances, objects] of [
        [1, 50],
        [9, 50],
        [9, 400],
    ] as const) {
        const ratio = measure(instances, objects) / expected(instances, objects);
        assert.ok(ratio > 0.7 && ratio < 1.4, `${instances} instances, ${objects} objects: ${ratio}`);
    }
});

// Guards against a copy in each zone of objects that are rarely asked for: servers keep few objects, and each copy is
// learned anew, which takes several times as long.
test("wave: objects with few requests have one server in the region, for the instances of all its zones", () => {
    const servers = ["n-a", "n-a", "n-b", "n-b"].map((zone, i) => createServer(`i-${i}`, zone));
    const objects = Array.from({ length: 12 }, (_, i) => `wanted-${i}`);
    const homes = ["n-a", "n-b"].map(zone => {
        const instance = createInstance(servers, undefined, zone);
        serveOtherObjects(instance);
        return objects.map(object => choose(instance, object).server.record.id);
    });
    assert.deepEqual(homes[0], homes[1]);
    assert.ok(new Set(homes[0]).size > 2, "all objects are on the same servers");
});

/** Objects that come once each, of which the instance learns that work is long on a server that does not know them. */
function serveOtherObjects({ balancer, createRequest, clock }: Instance): void {
    for (let index = 0; index < 200; index++) {
        const req = createRequest(`seen-${index}`);
        const choice = balancer.choose(req);
        assert.equal(choice.kind, ChoiceKind.Send);
        balancer.start(req, choice);
        balancer.finish(req, choice, { outcome: ServerOutcome.Success, firstByteMs: 400 });
        clock.jump(50);
        balancer.adapt();
    }
}

function choose({ balancer, createRequest }: Instance, object: string): Placement {
    const choice = balancer.choose(createRequest(object));
    assert.equal(choice.kind, ChoiceKind.Send);
    return choice;
}
