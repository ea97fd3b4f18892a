import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "@waxwingdale/core";
import type { ManualClock } from "@waxwingdale/core";
import { createCrashSuspects, quarantineCrashes } from "@waxwingdale/relay";
import type { CrashReport, CrashSuspects, RequestIdentity } from "@waxwingdale/relay";
import fc from "fast-check";

const second = 1000;
const minute = 60 * second;

const setUp = () => {
    const clock = createManualClock();
    return { clock, suspects: createCrashSuspects(clock) };
};

type SetUp = ReturnType<typeof setUp>;

const identify = (request: string, caller = "1"): RequestIdentity => ({
    request,
    caller: () => `${request}.${caller}`,
});

let servers = 0;
const nextServer = () => `i-${servers++}`;

/** Crashes servers, one after the other. */
function crash({ clock, suspects }: SetUp, identity: RequestIdentity, times: number, isTrial = false): void {
    for (let count = 0; count < times; count++) {
        const sentAt = clock.now();
        clock.jump(1);
        suspects.recordCrash(identity, { serverId: nextServer(), sentAt, lostAt: clock.now() }, isTrial);
    }
}

const exchange = (from: CrashSuspects, to: CrashSuspects) =>
    from.reports().forEach(report => to.merge(report));

test("a request is rejected after three crashes, one after the other", () => {
    const instance = setUp();
    const { suspects } = instance;
    crash(instance, identify("a"), 2);
    assert.equal(suspects.rejectedMs(identify("a")), 0);
    crash(instance, identify("a"), 1);
    assert.ok(suspects.rejectedMs(identify("a")) > 0);
    assert.equal(suspects.rejectedMs(identify("b")), 0);
});

test("servers that crash at the same time count once", () => {
    const { clock, suspects } = setUp();
    const sentAt = clock.now();
    for (let server = 0; server < 10; server++) {
        clock.jump(1);
        suspects.recordCrash(identify("a"), { serverId: nextServer(), sentAt, lostAt: clock.now() });
    }
    assert.deepEqual(suspects.countCrashes(identify("a")), { ofCaller: 1, ofAll: 1 });
});

/** Crashes servers at the same time, each at an instance of its own that then hears of the others. */
function crashAtOnce(clock: ManualClock, instances: readonly CrashSuspects[], hasEnded = true): void {
    const sentAt = clock.now();
    clock.jump(1);
    instances.forEach(suspects =>
        suspects.recordCrash(identify("a"), {
            serverId: nextServer(),
            sentAt,
            lostAt: clock.now(),
            hasEnded,
        }),
    );
    instances.forEach(from => instances.forEach(to => exchange(from, to)));
}

/** Guards against three instances that send it again each, since what they have seen counts as one crash (BUDGET). */
test("a request under which servers end at several instances at once is sent one at a time from then on", () => {
    const { clock, suspects } = setUp();
    const instances = [suspects, createCrashSuspects(clock), createCrashSuspects(clock)];
    crashAtOnce(clock, instances);
    for (const instance of instances) {
        assert.equal(instance.countCrashes(identify("a")).ofCaller, 1);
        assert.equal(instance.needsTrial(identify("a")), true);
        assert.equal(instance.rejectedMs(identify("a")), 0);
    }
    clock.jump(5 * second);
    assert.equal(suspects.beginTrial(identify("a")), true);
    exchange(suspects, instances[1]!);
    assert.ok(instances[1]!.rejectedMs(identify("a")) > 0);
    crash({ clock, suspects }, identify("a"), 1, true);
    assert.ok(suspects.rejectedMs(identify("a")) > 0);
    suspects.recordSuccess(identify("a"));
    assert.equal(suspects.needsTrial(identify("a")), false);
});

// Guards against a harmless request that is rejected, since it came to servers that hang.
test("servers that fall silent at the same time are no reason for a trial", () => {
    const { clock, suspects } = setUp();
    const instances = [suspects, createCrashSuspects(clock)];
    crashAtOnce(clock, instances, false);
    assert.ok(instances.every(instance => !instance.needsTrial(identify("a"))));
});

// Guards against a harmless request that is rejected after two losses at servers that hang and close their connections.
test("servers that end at several instances after the second crash are no reason to reject a request earlier", () => {
    const { clock, suspects } = setUp();
    const instances = [suspects, createCrashSuspects(clock)];
    crash({ clock, suspects }, identify("a"), 1);
    exchange(suspects, instances[1]!);
    crashAtOnce(clock, instances);
    for (const instance of instances) {
        assert.equal(instance.countCrashes(identify("a")).ofCaller, 2);
        assert.equal(instance.rejectedMs(identify("a")), 0);
    }
});

// Guards against a popular path that is rejected for the callers of servers that crash at the same time.
test("servers that crash at the same time under requests of many callers count once", () => {
    const { clock, suspects } = setUp();
    const sentAt = clock.now();
    for (let caller = 0; caller < 30; caller++) {
        clock.jump(1);
        suspects.recordCrash(identify("a", `${caller}`), {
            serverId: nextServer(),
            sentAt,
            lostAt: clock.now(),
        });
    }
    assert.equal(suspects.rejectedMs(identify("a", "31")), 0);
    assert.equal(suspects.countCrashes(identify("a", "31")).ofAll, 1);
});

/** Guards against one server's end that counts for each of the requests that came to it, one after the other. */
test("a server that crashes counts once, until it is back", () => {
    const { clock, suspects } = setUp();
    const crashOf = (serverId: string) => {
        const sentAt = clock.now();
        clock.jump(1);
        return suspects.recordCrash(identify("a"), { serverId, sentAt, lostAt: clock.now() }).ofCaller;
    };
    assert.deepEqual([crashOf("i-1"), crashOf("i-1"), crashOf("i-2"), crashOf("i-1")], [1, 1, 2, 2]);
    clock.jump(5 * second);
    assert.equal(crashOf("i-1"), 3);
});

/** Guards against a popular path that is rejected for long, since servers ended for another reason. */
test("a request that is rejected for all callers is tried again after two seconds", () => {
    const instance = setUp();
    const { clock, suspects } = instance;
    ["1", "2", "3"].forEach(caller => crash(instance, identify("a", caller), 1));
    assert.ok(suspects.rejectedMs(identify("a", "4")) > 0);
    clock.jump(2 * second);
    assert.equal(suspects.rejectedMs(identify("a", "4")), 0);
    assert.equal(suspects.beginTrial(identify("a", "4")), true);
    suspects.recordSuccess(identify("a", "4"));
    assert.equal(suspects.rejectedMs(identify("a", "5")), 0);
});

/** Guards against a success of one caller that clears the request of another (BUDGET). */
test("a success of another caller does not clear a request", () => {
    const instance = setUp();
    const { suspects } = instance;
    for (let count = 0; count < quarantineCrashes; count++) {
        crash(instance, identify("a", "bad"), 1);
        suspects.recordSuccess(identify("a", "good"));
    }
    assert.ok(suspects.rejectedMs(identify("a", "bad")) > 0);
});

/** Guards against a rejection that concerns all callers of a path, since the request of one crashes servers. */
test("others on the path of a rejected request are not rejected", () => {
    const instance = setUp();
    crash(instance, identify("a", "bad"), 5);
    assert.equal(instance.suspects.rejectedMs(identify("a", "good")), 0);
});

/** Guards against a request that is not recognized, since each repetition comes from another address. */
test("a request that crashes servers for different callers is rejected for all, unless one is served", () => {
    const instance = setUp();
    const { suspects } = instance;
    crash(instance, identify("a", "1"), 1);
    crash(instance, identify("a", "2"), 1);
    suspects.recordSuccess(identify("a", "3"));
    crash(instance, identify("a", "4"), 2);
    assert.equal(suspects.rejectedMs(identify("a", "5")), 0);
    crash(instance, identify("a", "6"), 1);
    assert.ok(suspects.rejectedMs(identify("a", "5")) > 0);
});

test("a success clears a request, and attempts from before count as the first crash", () => {
    const instance = setUp();
    const { clock, suspects } = instance;
    const sentAt = clock.now();
    crash(instance, identify("a"), 2);
    assert.equal(suspects.recordSuccess(identify("a")), 2);
    assert.equal(suspects.countCrashes(identify("a")).ofCaller, 0);
    suspects.recordCrash(identify("a"), { serverId: nextServer(), sentAt, lostAt: clock.now() });
    assert.equal(suspects.countCrashes(identify("a")).ofCaller, 1);
});

test("an older report of a peer does not undo a success", () => {
    const instance = setUp();
    const { suspects } = instance;
    crash(instance, identify("a"), 2);
    suspects.recordSuccess(identify("a"));
    suspects.merge({ fingerprint: "a.1", epoch: 0, crashes: 3, ageMs: 0 });
    assert.equal(suspects.countCrashes(identify("a")).ofCaller, 0);
});

/** Guards against a popular request that is rejected, since it ran at all servers that another request crashed. */
test("a request that most servers survive is not rejected, also at the instances that saw no survival", () => {
    const instance = setUp();
    const { clock, suspects } = instance;
    const other = createCrashSuspects(clock);
    suspects.onChange(report => other.merge(report));
    crash(instance, identify("a"), 3);
    assert.ok(other.rejectedMs(identify("a")) > 0);
    for (let count = 0; count < 24; count++) {
        assert.ok(suspects.rejectedMs(identify("a")) > 0);
        suspects.recordSurvival(identify("a"));
    }
    assert.equal(suspects.rejectedMs(identify("a")), 0);
    assert.equal(other.rejectedMs(identify("a")), 0);
    crash(instance, identify("a"), 1);
    assert.ok(suspects.rejectedMs(identify("a")) > 0);
});

/** Guards against waves: repetitions that come before the outcome of the decisive one is known (BUDGET). */
test("after two crashes one request is sent at a time, and a success lets all others through", () => {
    const instance = setUp();
    const { suspects } = instance;
    crash(instance, identify("a"), 2);
    assert.equal(suspects.beginTrial(identify("a")), true);
    assert.ok(suspects.rejectedMs(identify("a")) > 0);
    suspects.recordSuccess(identify("a"));
    assert.equal(suspects.rejectedMs(identify("a")), 0);
    assert.equal(suspects.beginTrial(identify("a")), false);
});

test("the crash of a request on trial is not counted twice", () => {
    const instance = setUp();
    const { suspects } = instance;
    crash(instance, identify("a"), 2);
    const isTrial = suspects.beginTrial(identify("a"));
    crash(instance, identify("a"), 1, isTrial);
    assert.equal(suspects.countCrashes(identify("a")).ofCaller, 3);
});

// Guards against a request that is rejected, since the one on trial found no room and ran nowhere.
test("a trial that no server ran is withdrawn", () => {
    const instance = setUp();
    const { suspects } = instance;
    crash(instance, identify("a"), 2);
    suspects.beginTrial(identify("a"));
    suspects.withdrawTrial(identify("a"));
    assert.equal(suspects.rejectedMs(identify("a")), 0);
    assert.equal(suspects.countCrashes(identify("a")).ofCaller, 2);
});

/** Guards against a suspicion that falls on a harmless request and lasts for minutes. */
test("a rejected request is tried again after half a minute, and then ten times as long each time", () => {
    const instance = setUp();
    const { clock, suspects } = instance;
    crash(instance, identify("a"), 3);
    for (const rejectionMs of [30 * second, 5 * minute, 50 * minute]) {
        clock.jump(rejectionMs - second);
        assert.ok(suspects.rejectedMs(identify("a")) > 0);
        clock.jump(second);
        assert.equal(suspects.rejectedMs(identify("a")), 0);
        assert.equal(suspects.beginTrial(identify("a")), true);
        assert.ok(suspects.rejectedMs(identify("a")) > 0, "others are rejected during the trial");
    }
    suspects.recordSuccess(identify("a"));
    assert.equal(suspects.rejectedMs(identify("a")), 0);
});

/** Guards against a rejection that is forgotten, so that the request crashes three servers again (BUDGET). */
test("a request that was rejected is on trial for an hour after the end of its rejection", () => {
    const instance = setUp();
    const { clock, suspects } = instance;
    crash(instance, identify("a"), 3);
    clock.jump(60 * minute);
    assert.equal(suspects.beginTrial(identify("a")), true);
});

// Guards against a call to each peer for each request of each server that crashes.
test("a first crash and its end are not reported", () => {
    const instance = setUp();
    const { suspects } = instance;
    suspects.onChange(() => assert.fail("reported"));
    crash(instance, identify("a"), 1);
    suspects.recordSuccess(identify("a"));
    assert.deepEqual(
        suspects.reports().map(({ epoch }) => epoch),
        [1, 1],
    );
});

test("only changes of this instance are reported", () => {
    const instance = setUp();
    const { suspects } = instance;
    const seen: CrashReport[] = [];
    suspects.onChange(report => seen.push(report));
    suspects.merge({ fingerprint: "a.1", epoch: 0, crashes: 1, ageMs: 0 });
    crash(instance, identify("a"), 1);
    assert.deepEqual(
        seen.map(({ fingerprint, crashes }) => ({ fingerprint, crashes })),
        [{ fingerprint: "a.1", crashes: 2 }],
    );
});

test("a first crash is forgotten after an hour", () => {
    const instance = setUp();
    const { clock, suspects } = instance;
    crash(instance, identify("a"), 1);
    clock.jump(59 * minute);
    assert.equal(suspects.countCrashes(identify("a")).ofCaller, 1);
    clock.jump(minute);
    assert.equal(suspects.countCrashes(identify("a")).ofCaller, 0);
    suspects.reports();
    assert.ok(suspects.isEmpty());
});

/** Guards against a rejection that never ends, since instances remind each other of it. */
test("a suspicion that instances pass on to each other ends at all of them", () => {
    const instance = setUp();
    const { clock, suspects: first } = instance;
    const other = createCrashSuspects(clock);
    crash(instance, identify("a"), 3);
    for (let seconds = 0; seconds < 2 * 3600; seconds++) {
        clock.jump(second);
        exchange(first, other);
        exchange(other, first);
    }
    assert.ok(first.isEmpty() && other.isEmpty());
});

test("a rejection that an operator lifts ends at all instances", () => {
    const instance = setUp();
    const { clock, suspects: first } = instance;
    const other = createCrashSuspects(clock);
    crash(instance, identify("a"), 3);
    exchange(first, other);
    assert.deepEqual(other.rejected(), ["a.1"]);
    assert.equal(first.lift("a.1"), 1);
    assert.equal(first.lift("a.1"), 0);
    exchange(first, other);
    assert.deepEqual([first.rejectedMs(identify("a")), other.rejectedMs(identify("a"))], [0, 0]);
});

test("with the fingerprint of a request, an operator lifts the rejections of all its callers", () => {
    const instance = setUp();
    const { suspects } = instance;
    ["1", "2"].forEach(caller => crash(instance, identify("a", caller), 3));
    crash(instance, identify("b"), 3);
    assert.equal(suspects.lift("a"), 3);
    assert.deepEqual(suspects.rejected(), ["b.1"]);
});

/** Guards against a bound that forgets a rejected request, so that it crashes servers again (BUDGET). */
test("thousands of first crashes and hundreds of other rejected requests displace no rejected one", () => {
    const instance = setUp();
    const { suspects } = instance;
    const names = Array.from({ length: 500 }, (_, index) => `q${index}`);
    names.forEach(name => crash(instance, identify(name), quarantineCrashes));
    names.forEach(name => suspects.recordSuccess(identify(name, "other")));
    for (let index = 0; index < 20_000; index++) {
        crash(instance, identify(`s${index}`), 1);
    }
    assert.ok(names.every(name => suspects.rejectedMs(identify(name)) > 0));
    assert.equal(suspects.reports().length, 2048);
});

/** Guards against a crash that is forgotten, since another instance withdrew its trial at the same time (BUDGET). */
test("the crash of a trial counts, also if another instance withdraws its trial before or after it", () => {
    for (const isCrashFirst of [true, false]) {
        const first = setUp();
        const { clock } = first;
        const other = createCrashSuspects(clock);
        crash(first, identify("a"), 2);
        exchange(first.suspects, other);
        clock.jump(second);
        assert.ok(first.suspects.beginTrial(identify("a")) && other.beginTrial(identify("a")));
        const events = [
            () => crash(first, identify("a"), 1, true),
            () => other.withdrawTrial(identify("a")),
            () => exchange(other, first.suspects),
        ];
        const [crashes, withdraws, arrives] = events as [() => void, () => void, () => void];
        const order = isCrashFirst ? [crashes, withdraws, arrives] : [withdraws, arrives, crashes];
        order.forEach(run => run());
        exchange(first.suspects, other);
        for (const suspects of [first.suspects, other]) {
            assert.equal(suspects.countCrashes(identify("a")).ofCaller, 3);
            assert.ok(suspects.rejectedMs(identify("a")) > 0);
        }
    }
});

/** One repetition of a request that comes to several instances at about the same time. */
interface Repetition {
    /** Times in milliseconds after which it comes to each instance. */
    offsets: readonly number[];
    /** Whether it finds a server at an instance that another instance has not crashed yet. */
    findsServer: boolean[];
}

const instanceCount = 3;
const lossMs = 5;
const examinationMs = 25;

/** Plays repetitions, a second apart, and returns the times at which servers crash. Reports arrive after the given time. */
async function playRepetitions(repetitions: readonly Repetition[], messageMs: number): Promise<number[]> {
    const clock = createManualClock();
    const startedAt = clock.now();
    const crashes: number[] = [];
    const instances = Array.from({ length: instanceCount }, () => createCrashSuspects(clock));
    instances.forEach(instance =>
        instance.onChange(report =>
            clock.setTimer(messageMs, () => {
                instances.filter(peer => peer !== instance).forEach(peer => peer.merge(report));
            }),
        ),
    );
    const send = (instance: CrashSuspects, hasServer: boolean) => {
        if (instance.rejectedMs(identify("a")) > 0) {
            return;
        }
        const sentAt = clock.now();
        const isTrial = instance.beginTrial(identify("a"));
        if (!hasServer) {
            clock.setTimer(1, () => isTrial && instance.withdrawTrial(identify("a")));
            return;
        }
        crashes.push(sentAt - startedAt);
        const attempt = { serverId: nextServer(), sentAt, lostAt: sentAt + lossMs };
        clock.setTimer(examinationMs, () => instance.recordCrash(identify("a"), attempt, isTrial));
    };
    for (const { offsets, findsServer } of repetitions) {
        instances.forEach((instance, index) =>
            clock.setTimer(offsets[index]!, () => send(instance, findsServer[index]!)),
        );
        await clock.advance(second);
    }
    return crashes;
}

/** Guards against a request that comes to all instances at once and reaches servers each time (BUDGET). */
test("a request that comes to all instances at about the same time is recognized", async () => {
    const perInstance = <Value>(value: fc.Arbitrary<Value>) =>
        fc.array(value, { minLength: instanceCount, maxLength: instanceCount });
    const repetition = fc.record({
        offsets: fc.oneof(fc.constant<readonly number[]>([0, 0, 0]), perInstance(fc.nat(200))),
        findsServer: perInstance(fc.boolean()).filter(finds => finds.includes(true)),
    });
    const repetitions = fc.array(repetition, { minLength: 20, maxLength: 20 });
    await fc.assert(
        fc.asyncProperty(repetitions, fc.integer({ min: 10, max: 1500 }), async (played, messageMs) => {
            const crashes = (await playRepetitions(played, messageMs)).sort((a, b) => a - b);
            const lateFrom = crashes[2]! + 3 * second;
            assert.ok(crashes.filter(at => at > lateFrom).length <= 3, crashes.join());
        }),
    );
});

test("instances that exchange all reports in any order agree", () => {
    const report = fc.record({
        fingerprint: fc.constantFrom("a.1", "b.1", "c.1"),
        epoch: fc.nat(3),
        crashes: fc.nat(4),
        trialSteps: fc.nat(3),
        ageMs: fc.constant(0),
    });
    fc.assert(
        fc.property(fc.array(report), fc.array(report), (first, other) => {
            const left = setUp().suspects;
            const right = setUp().suspects;
            [...first, ...other].forEach(item => left.merge(item));
            [...other, ...first, ...other].forEach(item => right.merge(item));
            for (const name of ["a", "b", "c"]) {
                assert.deepEqual(left.countCrashes(identify(name)), right.countCrashes(identify(name)));
            }
        }),
    );
});

// Guards against an instance that ranks all others for each of thousands of requests that it rejects.
test("the delay of a trial is worked out only when the rejection is over", () => {
    const clock = createManualClock();
    let ranked = 0;
    const suspects = createCrashSuspects(clock, () => {
        ranked += 1;
        return 400;
    });
    crash({ clock, suspects }, identify("a"), 3);
    ranked = 0;
    for (let count = 0; count < 1000; count++) {
        assert.ok(suspects.rejectedMs(identify("a")) > 0);
    }
    assert.equal(ranked, 0);
    clock.jump(30 * second);
    assert.equal(suspects.rejectedMs(identify("a")), 400);
    assert.equal(ranked, 1);
});
