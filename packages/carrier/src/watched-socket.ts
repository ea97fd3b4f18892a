/** Sockets that tell what they had received when an error ended them, which the HTTP library does not show. */
import { Socket } from "node:net";

const receivedBeforeError = new WeakMap<Error, Buffer>();

/** Returns the last bytes that a socket had received when this error ended it; undefined if there were none. */
export function getReceivedBefore(err: Error): Buffer | undefined {
    return receivedBeforeError.get(err);
}

export class WatchedSocket extends Socket {
    private received: Buffer | undefined;

    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (Buffer.isBuffer(chunk)) {
            this.received = chunk;
        }
        return super.push(chunk, encoding);
    }

    override destroy(err?: Error): this {
        if (err !== undefined && this.received !== undefined) {
            receivedBeforeError.set(err, this.received);
        }
        return super.destroy(err);
    }
}
