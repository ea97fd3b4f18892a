/** Round-trip times from this instance to the zones of backend servers, measured from connection setup. */
import type { BackendState } from "./backend-state.js";

export interface ZoneLatency {
    roundTripMs(server: BackendState): number;
    recordConnectTime(server: BackendState, connectMs: number): void;
    describe(): Record<string, number>;
}

/** Initial round-trip times in milliseconds. */
const sameZoneMs = 0.5;
const sameRegionMs = 2;
const otherRegionMs = 60;
/** Weight of a measurement above the estimate. One below it replaces the estimate, as it has less queueing delay. */
const increaseWeight = 0.05;

export function createZoneLatency(localZone: string, localRegion: string): ZoneLatency {
    const byZone = new Map<string, number>();

    const getInitial = ({ record, region }: BackendState) => {
        if (record.zone === localZone) {
            return sameZoneMs;
        }
        return region === localRegion ? sameRegionMs : otherRegionMs;
    };

    return {
        roundTripMs: server => byZone.get(server.record.zone) ?? getInitial(server),
        recordConnectTime: (server, connectMs) => {
            const estimate = byZone.get(server.record.zone);
            const isFaster = estimate === undefined || connectMs < estimate;
            byZone.set(
                server.record.zone,
                isFaster ? connectMs : estimate + (connectMs - estimate) * increaseWeight,
            );
        },
        describe: () => Object.fromEntries(byZone),
    };
}
