/** IPv4 blocks in CIDR notation. */

export interface Ipv4Block {
    /** Address as an unsigned 32-bit number. */
    address: number;
    prefixLength: number;
}

/** Parses an IPv4 address, or returns undefined. Leading zeros are rejected, since some tools read them as octal. */
export function parseIpv4(text: string): number | undefined {
    const parts = text.split(".");
    if (parts.length !== 4 || !parts.every(part => /^(0|[1-9]\d{0,2})$/.test(part) && Number(part) <= 255)) {
        return undefined;
    }
    return parts.reduce((sum, part) => sum * 256 + Number(part), 0);
}

/** Parses a block such as 10.1.0.0/16, or returns undefined if it is malformed. */
export function parseIpv4Block(text: string): Ipv4Block | undefined {
    const [addressText = "", prefixText = "", ...rest] = text.split("/");
    const address = parseIpv4(addressText);
    if (address === undefined || rest.length > 0 || !/^(0|[1-9]\d?)$/.test(prefixText)) {
        return undefined;
    }
    const prefixLength = Number(prefixText);
    return prefixLength > 32 ? undefined : { address, prefixLength };
}

/** Returns the first address of the block. */
export function getNetworkAddress({ address, prefixLength }: Ipv4Block): number {
    const size = 2 ** (32 - prefixLength);
    return Math.floor(address / size) * size;
}

/** Formats an address in dotted decimal notation. */
export function formatIpv4(address: number): string {
    return [24, 16, 8, 0].map(shift => Math.floor(address / 2 ** shift) % 256).join(".");
}
