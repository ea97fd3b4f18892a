/** Rendezvous (highest random weight) hashing: all processes with the same member list pick the same owner. */
import { hash32 } from "./hash.js";

/** Returns the owner of `key`; undefined without members. Adding or removing a member moves only that member's keys. */
export function pickOwner(key: string, members: readonly string[]): string | undefined {
    let owner: string | undefined;
    let best = -1;
    for (const member of members) {
        const score = hash32(`${key}\n${member}`);
        if (score > best || (score === best && owner !== undefined && member < owner)) {
            best = score;
            owner = member;
        }
    }
    return owner;
}

/** Returns the members in descending order of their rank for `key`. */
export function rankOwners(key: string, members: readonly string[]): string[] {
    return members
        .map(member => ({ member, score: hash32(`${key}\n${member}`) }))
        .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
        .map(({ member }) => member);
}
