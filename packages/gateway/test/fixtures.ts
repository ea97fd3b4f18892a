/** Members of a fleet for the tests of places and look-ups. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";

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
