/** Entry point of the gateway daemon. */
import { SettingsError, getErrorMessage } from "@waxwingdale/core";
import sade from "sade";
import { GatewayListenError } from "../listeners.js";
import { startGateway } from "../run-gateway.js";
import { readGatewaySettings } from "../settings.js";
import { ExitCode, handleSignals } from "../signals.js";

interface Flags {
    settings?: string;
    check: boolean;
}

const defaultSettings = "gateway.jsonc";

async function run(flags: Flags): Promise<void> {
    const path = flags.settings ?? process.env.WAXWINGDALE_NODE_FILE ?? defaultSettings;
    try {
        if (flags.check) {
            await readGatewaySettings(path);
            process.stdout.write(`${path}: ok\n`);
            return;
        }
        const started = start(path);
        handleSignals({ source: process, started, exit: code => process.exit(code) });
        await started;
    } catch (err) {
        process.stderr.write(`waxwingdale-gateway: ${getErrorMessage(err)}\n`);
        process.exit(getExitCode(err));
    }
}

async function start(settingsPath: string) {
    const gateway = await startGateway(await readGatewaySettings(settingsPath), settingsPath);
    process.on("unhandledRejection", err =>
        gateway.logger.error("unhandled-rejection", { error: getErrorMessage(err) }),
    );
    return gateway;
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
