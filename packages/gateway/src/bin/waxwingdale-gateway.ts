/** Entry point of the gateway daemon. */
import { SettingsError, getErrorMessage } from "@waxwingdale/core";
import sade from "sade";
import { GatewayListenError } from "../listeners.js";
import { startGateway } from "../run-gateway.js";
import type { Gateway } from "../run-gateway.js";
import { readGatewaySettings } from "../settings.js";

enum ExitCode {
    Settings = 2,
    Listen = 3,
    Internal = 70,
}

interface Flags {
    settings?: string;
    check: boolean;
}

const defaultSettings = "gateway.jsonc";

async function run(flags: Flags): Promise<void> {
    const path = flags.settings ?? process.env.WAXWINGDALE_NODE_FILE ?? defaultSettings;
    try {
        const settings = await readGatewaySettings(path);
        if (flags.check) {
            process.stdout.write(`${path}: ok\n`);
            return;
        }
        handleSignals(await startGateway(settings, path));
    } catch (err) {
        process.stderr.write(`waxwingdale-gateway: ${getErrorMessage(err)}\n`);
        process.exit(getExitCode(err));
    }
}

/** Shuts down on SIGTERM or SIGINT, immediately on a second one; reloads the settings on SIGHUP. */
function handleSignals(gateway: Gateway): void {
    let isStopping = false;
    const stop = () => {
        if (isStopping) {
            process.exit(ExitCode.Internal);
        }
        isStopping = true;
        gateway.stop().then(
            () => process.exit(),
            (err: unknown) => {
                gateway.logger.error("shutdown-failed", { error: getErrorMessage(err) });
                process.exit(ExitCode.Internal);
            },
        );
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    process.on("SIGHUP", () => void gateway.reload());
    process.on("unhandledRejection", err =>
        gateway.logger.error("unhandled-rejection", { error: getErrorMessage(err) }),
    );
}

function getExitCode(err: unknown): ExitCode {
    if (err instanceof SettingsError) {
        return ExitCode.Settings;
    }
    return err instanceof GatewayListenError ? ExitCode.Listen : ExitCode.Internal;
}

sade("waxwingdale-gateway", true)
    .version("0.1.0")
    .describe("Gateway daemon: tells clients where to connect and forwards their requests")
    .option("--settings", "Settings file in JSON with comments; can also be set by WAXWINGDALE_NODE_FILE")
    .option("--check", "Check the settings and exit", false)
    .action((flags: Flags) => run(flags))
    .parse(process.argv);
