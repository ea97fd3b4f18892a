/** Member rows: their order, and their form on the wire. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";

/** Wire form of a row. A row as a JSON object takes twice the bytes, and rows are most of a message. */
export type MemberRow = [
    id: string,
    incarnation: number,
    status: number,
    region: string,
    zone: string,
    callerAddress: string,
    peerAddress: string,
    ready: number,
    session: number,
    capacity?: number,
];

/** At equal incarnations the later status of this list wins. The index is the status on the wire: only append. */
const statusOrder: readonly MemberStatus[] = [
    MemberStatus.Live,
    MemberStatus.Suspect,
    MemberStatus.Leaving,
    MemberStatus.Dead,
];
const maxTextLength = 128;
/** Leaves room for refutations above any incarnation that a peer may claim. */
const maxIncarnation = 2 ** 52;
const addressPattern = /^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):\d{1,5}$/;

/** Total order of the rows of one id. The greater row wins, so merging does not depend on the order of messages. */
export function compareRows(a: Member, b: Member): number {
    return (
        a.incarnation - b.incarnation ||
        statusOrder.indexOf(a.status) - statusOrder.indexOf(b.status) ||
        compareText(JSON.stringify(encodeRow(a)), JSON.stringify(encodeRow(b)))
    );
}

function compareText(a: string, b: string): number {
    return a === b ? 0 : a < b ? -1 : 1;
}

/** A member that still serves: live, or suspected but not yet given up. */
export function isServing(member: Member): boolean {
    return member.status === MemberStatus.Live || member.status === MemberStatus.Suspect;
}

export function encodeRow(member: Member): MemberRow {
    const { id, incarnation, status, region, zone, callerAddress, peerAddress, session, capacity } = member;
    const statusIndex = statusOrder.indexOf(status);
    const ready = member.ready ? 1 : 0;
    const place = [region, zone, callerAddress, peerAddress] as const;
    return capacity === undefined
        ? [id, incarnation, statusIndex, ...place, ready, session]
        : [id, incarnation, statusIndex, ...place, ready, session, capacity];
}

/** Returns the member of a row from the network, or undefined when it is not usable. Extra fields are ignored. */
export function decodeRow(value: unknown): Member | undefined {
    if (!Array.isArray(value)) {
        return undefined;
    }
    const [id, incarnation, statusIndex, region, zone, callerAddress, peerAddress, ready, session, capacity] =
        value as Partial<MemberRow>;
    const status = typeof statusIndex === "number" ? statusOrder[statusIndex] : undefined;
    if (
        !isText(id) ||
        !isText(region) ||
        !isText(zone) ||
        !isAddress(callerAddress) ||
        !isAddress(peerAddress) ||
        !isIncarnation(incarnation) ||
        !isIncarnation(session) ||
        status === undefined ||
        (ready !== 0 && ready !== 1) ||
        !isCapacity(capacity)
    ) {
        return undefined;
    }
    const member = { id, incarnation, status, region, zone, callerAddress, peerAddress, session };
    return { ...member, ready: ready === 1, ...(capacity === undefined ? {} : { capacity }) };
}

function isText(value: unknown): value is string {
    return typeof value === "string" && value.length > 0 && value.length <= maxTextLength;
}

function isAddress(value: unknown): value is string {
    return isText(value) && addressPattern.test(value);
}

function isCapacity(value: unknown): value is number | undefined {
    return value === undefined || (Number.isSafeInteger(value) && (value as number) >= 0);
}

function isIncarnation(value: unknown): value is number {
    return Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) < maxIncarnation;
}
