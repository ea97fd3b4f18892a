/** IPv4 addresses and blocks as unsigned 32-bit numbers. */
import { WaxwingdaleError } from "@waxwingdale/core";
import type { ErrorOptions } from "@waxwingdale/core";

/** A client block is malformed or duplicate, or the blocks refer to too many regions. */
export class ClientBlockError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("ClientBlockError", message, options);
    }
}

export interface Ipv4Block {
    base: number;
    /** Number of leading bits that all addresses of the block share. */
    prefixLength: number;
}

const dotCode = 46;
const zeroCode = 48;

/** Returns the address as a number, or -1 if the text is not an IPv4 address. */
export function parseIpv4(text: string): number {
    return parseAddress(text, text.length);
}

function parseAddress(text: string, end: number): number {
    let address = 0;
    let octet = -1;
    let dots = 0;
    for (let i = 0; i < end; i++) {
        const code = text.charCodeAt(i);
        if (code === dotCode && octet >= 0 && dots < 3) {
            address = address * 256 + octet;
            octet = -1;
            dots++;
            continue;
        }
        const digit = code - zeroCode;
        if (digit < 0 || digit > 9) {
            return -1;
        }
        octet = octet < 0 ? digit : octet * 10 + digit;
        if (octet > 255) {
            return -1;
        }
    }
    return dots === 3 && octet >= 0 ? address * 256 + octet : -1;
}

/** @throws ClientBlockError */
export function parseIpv4Block(text: string): Ipv4Block {
    const slash = text.indexOf("/");
    const base = slash < 0 ? -1 : parseAddress(text, slash);
    const length = Number(text.slice(slash + 1));
    if (base < 0 || slash === text.length - 1 || !Number.isInteger(length) || length < 0 || length > 32) {
        throw new ClientBlockError(`client block ${text} is not an IPv4 block; write it like 10.1.0.0/16`);
    }
    if (maskAddress(base, length) !== base) {
        throw new ClientBlockError(
            `client block ${text} has host bits set; write ${formatIpv4(maskAddress(base, length))}/${length}`,
        );
    }
    return { base, prefixLength: length };
}

/** Clears the host bits of an address. */
export function maskAddress(address: number, length: number): number {
    return length === 0 ? 0 : ((address >>> (32 - length)) << (32 - length)) >>> 0;
}

export function formatIpv4(address: number): string {
    return [address >>> 24, (address >>> 16) & 255, (address >>> 8) & 255, address & 255].join(".");
}
