/** Stand-in of a client that downloads over a line of its own, and of one that asks the directory where to connect. */
import { randomBytes } from "node:crypto";
import { request } from "node:http";
import { connect } from "node:net";
import { clearInterval, setInterval } from "node:timers";

const tickMs = 10;

/** Downloads one body on a new connection, reading no more than `bytesPerSecond`. */
export function download({ address, path, object, deadlineMs, bytesPerSecond }) {
    const [host, port] = address.split(":");
    const id = randomBytes(8).toString("hex");
    const sentAt = Date.now();
    return new Promise(resolve => {
        const socket = connect(Number(port), host);
        let head = "";
        let headBytes = 0;
        let bytes = 0;
        let credit = 0;
        socket.write(
            `GET ${path} HTTP/1.1\r\nHost: files.example\r\nRequest-Id: ${id}\r\n` +
                `Cookie: Affinity-Key=${object}\r\nDeadline-Ms: ${deadlineMs}\r\n\r\n`,
        );
        const settle = error => {
            clearInterval(timer);
            socket.destroy();
            const length = /content-length: (\d+)/i.exec(head)?.[1];
            resolve({
                id,
                path,
                address,
                sentAt,
                tookMs: Date.now() - sentAt,
                status: Number(head.split(" ")[1] ?? 0),
                length: length === undefined ? undefined : Number(length),
                bytes: headBytes === 0 ? 0 : bytes - headBytes,
                error,
            });
        };
        const take = chunk => {
            bytes += chunk.length;
            credit -= chunk.length;
            if (headBytes === 0) {
                head += chunk.toString("latin1");
                const end = head.indexOf("\r\n\r\n");
                headBytes = end < 0 ? 0 : end + 4;
            }
            const length = /content-length: (\d+)/i.exec(head)?.[1];
            if (headBytes > 0 && bytes - headBytes >= Number(length)) {
                settle(undefined);
            }
        };
        const timer = setInterval(() => {
            credit = Math.min(0, credit) + (bytesPerSecond * tickMs) / 1000;
            if (credit > 0) {
                socket.resume();
            }
            if (Date.now() - sentAt > deadlineMs) {
                settle("no whole answer within the deadline");
            }
        }, tickMs);
        socket.on("data", chunk => {
            take(chunk);
            if (credit <= 0) {
                socket.pause();
            }
        });
        socket.on("end", () => settle("the connection ended"));
        socket.on("error", err => settle(err.message));
    });
}

/** Asks one directory. Resolves to undefined if it has no answer within a second. */
export function resolveName(directory, { region, zone }) {
    return new Promise(resolve => {
        const url = `http://${directory}/waxwingdale/resolve?name=files.example&region=${region}&zone=${zone}`;
        const req = request(url, { timeout: 1000, agent: false }, res => {
            let text = "";
            res.on("data", chunk => (text += chunk));
            res.on("end", () => resolve(res.statusCode === 200 ? JSON.parse(text) : undefined));
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve(undefined));
        req.end();
    });
}
