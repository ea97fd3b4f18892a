/** Placement of cached objects with many instances, many objects and few requests per object from each instance. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandom } from "@waxwingdale/core";
import { ChoiceKind, ServerOutcome, createReuseEstimator, estimateObjects } from "@waxwingdale/balancing";
import type { Placement } from "@waxwingdale/balancing";
import { createInstance, createServer } from "./fixtures.js";
import type { Instance } from "./fixtures.js";

test("estimates the number of objects from the number of repeated requests", () => {
    const random = createRandom(5);
    for (const objects of [40, 300, 2000]) {
        const requests = 400;
        const seen = new Set(Array.from({ length: requests }, () => Math.floor(random() * objects)));
        const estimate = estimateObjects(requests, seen.size);
        assert.ok(estimate > objects * 0.7 && estimate < objects * 1.4, `${estimate} of ${objects}`);
    }
    assert.equal(estimateObjects(20, 20), Infinity);
});

test("expected uses of a cached copy grow with the instances in the zone and fall with the number of objects", () => {
    const measure = (instances: number, objects: number) => {
        const random = createRandom(3);
        const estimator = createReuseEstimator({ instancesInZone: () => instances });
        estimator.adapt(0);
        for (let now = 0; now < 9000; now += 30) {
            estimator.count("find", String(Math.floor(random() * objects)));
        }
        estimator.adapt(9000);
        return estimator.usesPerCopy("find");
    };
    // 33 requests per second from each instance for 30 s.
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

// Guards against caching rarely requested objects in each zone: servers cache few objects, and each additional copy
// costs a cold request, which takes several times as long.
test("load shift: instances of all zones send a rarely requested object to the same server of the region", () => {
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

/** Requests many objects once each, so that the instance measures how long work takes on a cold server. */
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
