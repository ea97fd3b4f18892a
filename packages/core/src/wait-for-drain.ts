/** Back-pressure of answers. */
import type { ServerResponse } from "node:http";

/** Resolves when the answer takes more bytes, or when its connection has closed. */
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
