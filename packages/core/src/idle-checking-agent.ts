/** HTTP agent that never reuses a connection on which bytes arrived while no request was in flight. */
import { Agent } from "node:http";
import type { AgentOptions, ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Node's agent leaves what arrives on an idle connection to the next request, which takes a second copy of an earlier
 * response for its own.
 */
export class IdleCheckingAgent extends Agent {
    private readonly idleListeners = new WeakMap<Socket, (data: Buffer) => void>();

    constructor(
        options: AgentOptions,
        private readonly onUnsolicited: (address: string, bytes: number) => void,
    ) {
        super(options);
    }

    hasIdleSockets(): boolean {
        return Object.keys(this.freeSockets).length > 0;
    }

    override keepSocketAlive(socket: Socket): boolean {
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (isKept) {
            const listener = (data: Buffer) => {
                this.onUnsolicited(`${socket.remoteAddress}:${socket.remotePort}`, data.length);
                socket.destroy();
            };
            this.idleListeners.set(socket, listener);
            socket.once("data", listener);
        }
        return isKept;
    }

    override reuseSocket(socket: Socket, req: ClientRequest): void {
        const listener = this.idleListeners.get(socket);
        if (listener !== undefined) {
            this.idleListeners.delete(socket);
            socket.off("data", listener);
        }
        super.reuseSocket(socket, req);
    }
}
