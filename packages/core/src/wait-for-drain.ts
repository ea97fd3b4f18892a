/** Backpressure for streamed responses. */
import type { ServerResponse } from "node:http";

/** Resolves when the response accepts more data or its connection has closed. */
export function waitForDrain(res: ServerResponse): Promise<void> {
    return new Promise(resolve => {
        const finish = () => {
            res.off("drain", finish);
            res.off("close", finish);
            resolve();
        };
        res.once("drain", finish);
        res.once("close", finish);
    });
}
