/** Reacts to the signals of operators, also to those that come while the instance is starting. */
import { getErrorMessage } from "@waxwingdale/core";
import type { Gateway } from "./run-gateway.js";

export enum ExitCode {
    Ok = 0,
    Settings = 2,
    Listen = 3,
    Internal = 70,
}

/** Emits signals, as the process does. */
export interface SignalSource {
    on(signal: "SIGTERM" | "SIGINT" | "SIGHUP", listener: () => void): unknown;
}

export interface SignalOptions {
    source: SignalSource;
    /** Resolves to the gateway once it has started. If it rejects, nothing is left to be stopped. */
    started: Promise<Gateway>;
    /** Ends the process. */
    exit: (code: ExitCode) => void;
}

/**
 * SIGTERM and SIGINT shut down the gateway. Further ones change nothing, as they may be repeated by whoever waits for the
 * process, except for a second SIGINT, from a terminal: it ends the process at once. SIGHUP reloads the settings.
 */
export function handleSignals({ source, started, exit }: SignalOptions): void {
    let isStopping = false;
    let interrupts = 0;

    const withGateway = (run: (gateway: Gateway) => void) => started.then(run, () => undefined);

    const shutDown = async (gateway: Gateway) => {
        try {
            await gateway.stop();
            exit(ExitCode.Ok);
        } catch (err) {
            gateway.logger.error("shutdown-failed", { error: getErrorMessage(err) });
            exit(ExitCode.Internal);
        }
    };

    const stop = (signal: string) => {
        const isFirst = !isStopping;
        isStopping = true;
        void withGateway(gateway => {
            if (isFirst) {
                void shutDown(gateway);
            } else {
                gateway.logger.info("already-stopping", { signal });
            }
        });
    };

    source.on("SIGTERM", () => stop("SIGTERM"));
    source.on("SIGINT", () => {
        interrupts += 1;
        if (interrupts > 1) {
            exit(ExitCode.Internal);
        } else {
            stop("SIGINT");
        }
    });
    source.on("SIGHUP", () => void withGateway(gateway => void gateway.reload()));
}
