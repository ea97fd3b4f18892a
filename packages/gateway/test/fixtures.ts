/** Fixtures: members of a fleet and the bounds of a deployment. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";

/** Bounds that every settings file declares. */
export const declaredBounds = {
    graceSeconds: 6,
    lookupTtlSeconds: 5,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retrySlack: 58,
    coldFactor: 1.5,
    coldSlack: 5,
    maxRegionShift: 0.15,
    quotaWindowSeconds: 5,
    quotaOverage: 0,
    quotaSlack: 0,
};

export function createMember(id: string, zone: string, region: string, fields: Partial<Member> = {}): Member {
    return {
        id,
        incarnation: 1,
        session: 1,
        status: MemberStatus.Live,
        region,
        zone,
        callerAddress: `${id}:1`,
        peerAddress: `${id}:2`,
        ready: true,
        ...fields,
    };
}
