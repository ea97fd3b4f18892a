/** Non-cryptographic hashing with xxHash. */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Returns the 32-bit hash of a string. */
export function hash32(text: string, seed = 0): number {
    return hasher.h32(text, seed);
}

/** Returns the 64-bit hash of a string as 16 hexadecimal digits. */
export function hash64Hex(text: string): string {
    return hasher.h64ToString(text);
}
