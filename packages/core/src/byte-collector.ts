/** Collects a body that arrives in pieces. Its memory depends on the number of bytes, not on that of the pieces. */

export interface ByteCollector {
    readonly byteLength: number;
    /** Adds a piece. The first one is kept without a copy if no other follows. */
    add(piece: Buffer): void;
    /** Returns all bytes. Nothing may be added afterwards. */
    toBuffer(): Buffer;
}

/** Size of a block in bytes; at least as many bytes are held for a body of more than one piece. */
const blockBytes = 16 * 1024;

/** Creates a collector. A body of exactly `expectedBytes` is collected without being copied once more. */
export function createByteCollector(expectedBytes = 0): ByteCollector {
    const blocks: Buffer[] = [];
    let byteLength = 0;
    /** The only piece so far. */
    let single: Buffer | undefined;
    let block: Buffer | undefined;
    /** Number of bytes used in the last block. */
    let used = 0;

    const getBlockBytes = () =>
        blocks.length === 0 && expectedBytes > 0 ? expectedBytes : Math.max(blockBytes, byteLength >> 2);

    const copy = (piece: Buffer) => {
        for (let offset = 0; offset < piece.length;) {
            if (block === undefined || used === block.length) {
                // Blocks grow with the body, so that a large one has few of them.
                block = Buffer.allocUnsafeSlow(getBlockBytes());
                blocks.push(block);
                used = 0;
            }
            const count = piece.copy(block, used, offset);
            used += count;
            offset += count;
        }
        byteLength += piece.length;
    };

    return {
        get byteLength() {
            return byteLength;
        },
        add: piece => {
            if (byteLength === 0) {
                single = piece;
                byteLength = piece.length;
                return;
            }
            if (single !== undefined) {
                const first = single;
                single = undefined;
                byteLength = 0;
                copy(first);
            }
            copy(piece);
        },
        toBuffer: () =>
            single ?? (blocks[0]?.length === byteLength ? blocks[0] : Buffer.concat(blocks, byteLength)),
    };
}
