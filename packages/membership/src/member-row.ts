/** Order and wire format of member rows. */
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";

/** Wire format of a row. Rows make up most of a message, and as JSON objects they would take twice the bytes. */
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

/** At equal incarnations, the later status in this list wins. The index is sent on the wire, so only append. */
const statusOrder: readonly MemberStatus[] = [
    MemberStatus.Live,
    MemberStatus.Suspect,
    MemberStatus.Leaving,
    MemberStatus.Dead,
];
const maxTextLength = 128;
/** Leaves headroom to refute any incarnation that a peer may claim. */
const maxIncarnation = 2 ** 52;
const addressPattern = /^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):\d{1,5}$/;

/** Total order of the rows of one member. The greater row wins, so the order of messages does not matter. */
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

/** Whether the member is live, or suspect but not yet declared dead. */
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

/** Decodes a received row. Returns undefined if it is invalid. Extra fields are ignored. */
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
