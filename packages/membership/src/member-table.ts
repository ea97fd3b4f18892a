/** Rows of all known members, with indexes and hashes. */
import { MemberStatus, hash64Hex } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { isServing } from "./member-row.js";

/** Rows are hashed by id into buckets. Two members compare bucket hashes to find the rows in which they differ. */
export const bucketCount = 128;
const bucketHashLength = 5;

/** Returned lists are never modified, so callers may keep them. */
export interface MemberTable {
    find(id: string): Member | undefined;
    all(): readonly Member[];
    servingInRegion(region: string): readonly Member[];
    inBucket(bucket: number): readonly Member[];
    /** Clock time at which the row was last set. */
    changedAt(id: string): number;
    /**
     * Concatenated hashes of all buckets. Dead rows are excluded, because members remove them at different times and
     * would otherwise exchange them repeatedly.
     */
    bucketHashes(): string;
    viewHash(): string;
    set(member: Member, now: number): void;
    remove(id: string): void;
}

/** Returns the indexes of the buckets that differ between two results of `bucketHashes`. */
export function findDifferingBuckets(a: string, b: string): number[] {
    const hashOf = (text: string, bucket: number) =>
        text.slice(bucket * bucketHashLength, (bucket + 1) * bucketHashLength);
    return Array.from({ length: bucketCount }, (_, bucket) => bucket).filter(
        bucket => hashOf(a, bucket) !== hashOf(b, bucket),
    );
}

function bucketOf(id: string): number {
    return parseInt(hash64Hex(id).slice(-4), 16) % bucketCount;
}

/** Length of the hash of a full view, in digits. */
const viewHashLength = 12;

export function createMemberTable(): MemberTable {
    const rows = new Map<string, { member: Member; bucket: number; changedAt: number }>();
    const buckets = Array.from({ length: bucketCount }, () => new Map<string, Member>());
    const hashes: (string | undefined)[] = buckets.map(() => undefined);
    let sorted: readonly Member[] | undefined;
    let byRegion = new Map<string, readonly Member[]>();
    let viewHash: string | undefined;

    const invalidate = (bucket: number) => {
        sorted = undefined;
        viewHash = undefined;
        byRegion = new Map();
        hashes[bucket] = undefined;
    };

    const all = () => {
        sorted ??= sortById([...rows.values()].map(({ member }) => member));
        return sorted;
    };

    const hashBucket = (bucket: number) => {
        const lines = sortById([...buckets[bucket]!.values()])
            .filter(({ status }) => status !== MemberStatus.Dead)
            .map(({ id, incarnation, status }) => `${id} ${incarnation} ${status}`);
        return hash64Hex(lines.join("\n")).slice(0, bucketHashLength);
    };

    const bucketHashes = () => hashes.map((hash, i) => (hashes[i] = hash ?? hashBucket(i))).join("");

    return {
        find: id => rows.get(id)?.member,
        all,
        servingInRegion: region => {
            let list = byRegion.get(region);
            if (list === undefined) {
                list = all().filter(member => member.region === region && isServing(member));
                byRegion.set(region, list);
            }
            return list;
        },
        inBucket: bucket => [...(buckets[bucket]?.values() ?? [])],
        changedAt: id => rows.get(id)?.changedAt ?? 0,
        bucketHashes,
        viewHash: () => {
            viewHash ??= hash64Hex(bucketHashes()).slice(0, viewHashLength);
            return viewHash;
        },
        set: (member, now) => {
            const bucket = rows.get(member.id)?.bucket ?? bucketOf(member.id);
            rows.set(member.id, { member, bucket, changedAt: now });
            buckets[bucket]!.set(member.id, member);
            invalidate(bucket);
        },
        remove: id => {
            const row = rows.get(id);
            if (row !== undefined) {
                rows.delete(id);
                buckets[row.bucket]!.delete(id);
                invalidate(row.bucket);
            }
        },
    };
}

function sortById(members: Member[]): Member[] {
    return members.sort((a, b) => (a.id < b.id ? -1 : 1));
}
