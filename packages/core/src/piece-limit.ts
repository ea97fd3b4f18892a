/** Limits the number of pieces in which a body arrives, since each piece takes processor time however small it is. */

export interface PieceLimit {
    /** Counts a piece. Returns whether the body so far has more pieces than a body of its size may have. */
    isExceededBy(pieceBytes: number): boolean;
}

/** Number of pieces that any body may have, unless another one is given. */
const defaultMaxSmallPieces = 16 * 1024;
/** Average size in bytes that further pieces have at least. */
const minPieceBytes = 64;

export function createPieceLimit(maxSmallPieces = defaultMaxSmallPieces): PieceLimit {
    let pieces = 0;
    let bytes = 0;
    return {
        isExceededBy: pieceBytes => {
            pieces += 1;
            bytes += pieceBytes;
            return pieces > maxSmallPieces + bytes / minPieceBytes;
        },
    };
}
