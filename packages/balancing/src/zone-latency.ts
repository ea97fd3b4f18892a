/** Round-trip times from this instance to backend servers, learned from the opening of connections. */
import type { BackendState } from "./backend-state.js";

export interface ZoneLatency {
    roundTripMs(server: BackendState): number;
    recordConnectTime(server: BackendState, connectMs: number): void;
    describe(): Record<string, number>;
}

/** Round-trip times in milliseconds before anything is measured, by distance. */
const sameZoneMs = 0.5;
const sameRegionMs = 2;
const otherRegionMs = 60;
/** Weight of one measurement that is longer than expected; a shorter one counts in full, since it has no waiting in it. */
const slowerWeight = 0.05;

export function createZoneLatency(ownZone: string, ownRegion: string): ZoneLatency {
    const byZone = new Map<string, number>();

    const initial = ({ record, region }: BackendState) => {
        if (record.zone === ownZone) {
            return sameZoneMs;
        }
        return region === ownRegion ? sameRegionMs : otherRegionMs;
    };

    return {
        roundTripMs: server => byZone.get(server.record.zone) ?? initial(server),
        recordConnectTime: (server, connectMs) => {
            const known = byZone.get(server.record.zone);
            const isFaster = known === undefined || connectMs < known;
            byZone.set(server.record.zone, isFaster ? connectMs : known + (connectMs - known) * slowerWeight);
        },
        describe: () => Object.fromEntries(byZone),
    };
}
