/** Forecasts when a request gets a slot, from the rate at which the slots of its service went to requests lately. */

export interface RoomForecast {
    /** Counts a request that begins to wait for the service. */
    addWaiting(service: string, now: number): void;
    removeWaiting(service: string, now: number): void;
    /** Counts a request that got a slot; called before `removeWaiting` for one that has waited. */
    recordAdmitted(service: string, now: number): void;
    /**
     * Returns the time in milliseconds until a request behind `ahead` others gets a slot, or undefined if too little is
     * known.
     */
    expectedMs(service: string, ahead: number, now: number): number | undefined;
}

interface ServiceRate {
    waiting: number;
    /** Requests that got a slot while others waited, and the time for which others waited; both decay. */
    admitted: number;
    contendedMs: number;
    updatedAt: number;
}

/** Time constant in milliseconds of the rate. */
const decayMs = 2000;
/** Evidence from which the forecast is used. */
const minAdmitted = 8;
const minContendedMs = 250;

/**
 * Only times count in which requests wait: otherwise the rate is that of the demand and not of the slots. The number of
 * services is bounded by the configuration.
 */
export function createRoomForecast(): RoomForecast {
    const rates = new Map<string, ServiceRate>();

    const update = (service: string, now: number): ServiceRate => {
        let rate = rates.get(service);
        if (rate === undefined) {
            rate = { waiting: 0, admitted: 0, contendedMs: 0, updatedAt: now };
            rates.set(service, rate);
        }
        const elapsedMs = now - rate.updatedAt;
        if (elapsedMs > 0) {
            const factor = Math.exp(-elapsedMs / decayMs);
            rate.admitted *= factor;
            rate.contendedMs = rate.contendedMs * factor + (rate.waiting > 0 ? decayMs * (1 - factor) : 0);
            rate.updatedAt = now;
        }
        return rate;
    };

    return {
        addWaiting: (service, now) => {
            update(service, now).waiting += 1;
        },
        removeWaiting: (service, now) => {
            update(service, now).waiting -= 1;
        },
        recordAdmitted: (service, now) => {
            const rate = update(service, now);
            rate.admitted += rate.waiting > 0 ? 1 : 0;
        },
        expectedMs: (service, ahead, now) => {
            const { admitted, contendedMs } = update(service, now);
            return admitted < minAdmitted || contendedMs < minContendedMs
                ? undefined
                : ((ahead + 1) * contendedMs) / admitted;
        },
    };
}
