/** Estimates the work time of a route on a backend server and the size of its responses, from past responses. */

export interface WorkEstimate {
    /** Expected processing time in milliseconds. `isWarm` is true if the server handled the object recently. */
    expectedWorkMs(isWarm: boolean): number;
    recordWork(isWarm: boolean, workMs: number): void;
    /** Mean size of a response. */
    meanResponseBytes(): number;
    recordResponseBytes(bytes: number): void;
}

/** Latency settings of a route in milliseconds, from which the initial estimate is derived. */
export interface LatencyBounds {
    targetLatencyMs: number;
    timeoutMs: number;
}

/** Weight of one response; the mean covers about the last 40, a few seconds of a route's traffic on one instance. */
const responseWeight = 0.025;
/** Initial estimate of warm and cold work, as a fraction of the target latency. */
const initialWarmFraction = 0.4;
const initialColdFraction = 1.1;
/** Maximum initial estimate, as a fraction of the timeout. */
const maxInitialFraction = 0.4;
/** Initial estimate of the response size. */
const initialResponseBytes = 4096;

export function createWorkEstimate({ targetLatencyMs, timeoutMs }: LatencyBounds): WorkEstimate {
    const warm = createMovingAverage(targetLatencyMs * initialWarmFraction);
    // With an initial estimate above the timeout, every request would be rejected and the estimate never corrected.
    const cold = createMovingAverage(
        Math.min(targetLatencyMs * initialColdFraction, timeoutMs * maxInitialFraction),
    );
    const bytes = createMovingAverage(initialResponseBytes);
    return {
        meanResponseBytes: () => bytes.value(),
        recordResponseBytes: size => bytes.add(size),
        expectedWorkMs: isWarm => (isWarm ? warm.value() : Math.max(cold.value(), warm.value())),
        recordWork: (isWarm, workMs) => (isWarm ? warm : cold).add(workMs),
    };
}

/** Creates a moving average that weights the first values more, to converge quickly. */
function createMovingAverage(initial: number) {
    let mean = initial;
    let count = 1;
    return {
        value: () => mean,
        add: (value: number) => {
            count += 1;
            mean += (value - mean) * Math.max(responseWeight, 1 / count);
        },
    };
}
