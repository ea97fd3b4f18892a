/** Expected time of the work of a route on a backend server, and size of its answers, learned from answers. */

export interface WorkEstimate {
    /** Expected time in milliseconds without waiting; `isWarm` when the server has handled the object recently. */
    expectedWorkMs(isWarm: boolean): number;
    recordWork(isWarm: boolean, workMs: number): void;
    /** Mean size of an answer. */
    meanResponseBytes(): number;
    recordResponseBytes(bytes: number): void;
}

/** Times of a route in milliseconds that the first estimate follows from. */
export interface LatencyBounds {
    targetLatencyMs: number;
    timeoutMs: number;
}

/** Weight of one answer. About the last forty answers decide, a few seconds of a route's traffic at one instance. */
const learningRate = 0.025;
/** Work for an object that a server knows, relative to the target latency, before any answer. */
const initialWarmPart = 0.4;
const initialColdPart = 1.1;
/** Most of the timeout that the first estimate may take. */
const maxInitialPart = 0.4;
/** Size of an answer before any is seen. */
const initialAnswerBytes = 4096;

export function createWorkEstimate({ targetLatencyMs, timeoutMs }: LatencyBounds): WorkEstimate {
    const warm = createMean(targetLatencyMs * initialWarmPart);
    // A route whose first request seems to take too long would be refused for ever, and nothing would be learned.
    const cold = createMean(Math.min(targetLatencyMs * initialColdPart, timeoutMs * maxInitialPart));
    const bytes = createMean(initialAnswerBytes);
    return {
        meanResponseBytes: () => bytes.value(),
        recordResponseBytes: size => bytes.add(size),
        expectedWorkMs: isWarm => (isWarm ? warm.value() : Math.max(cold.value(), warm.value())),
        recordWork: (isWarm, workMs) => (isWarm ? warm : cold).add(workMs),
    };
}

/** A mean that the first values move fast and later ones slowly. */
function createMean(initial: number) {
    let mean = initial;
    let values = 1;
    return {
        value: () => mean,
        add: (value: number) => {
            values += 1;
            mean += (value - mean) * Math.max(learningRate, 1 / values);
        },
    };
}
