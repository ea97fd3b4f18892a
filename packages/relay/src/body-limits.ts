/** Limits for the bodies that an instance holds, from the memory of its machine. */

export interface BodyLimits {
    /** Bytes of the bodies of all requests together. */
    requestBytes: number;
    /** Bytes of the bodies of all responses together that are being received or forwarded. */
    responseBytes: number;
}

const mib = 1024 * 1024;
/** Limits of a machine with enough memory. */
const maxRequestBytes = 48 * mib;
const maxResponseBytes = 160 * mib;
const maxBytes = maxRequestBytes + maxResponseBytes;
/** Memory in bytes that the process needs beside the bodies: code, heap, connections, and freed bodies until they are collected. */
const reservedBytes = 180 * mib;
/** Smallest limit in bytes for all bodies together, on a machine that has less memory than is reserved. */
const minBytes = 32 * mib;

/** @param memoryMb Memory of the machine; undefined if it is not declared. */
export function getBodyLimits(memoryMb: number | undefined): BodyLimits {
    const availableBytes = memoryMb === undefined ? maxBytes : memoryMb * mib - reservedBytes;
    const bytes = Math.min(maxBytes, Math.max(minBytes, availableBytes));
    return {
        requestBytes: Math.floor((bytes * maxRequestBytes) / maxBytes),
        responseBytes: Math.floor((bytes * maxResponseBytes) / maxBytes),
    };
}
