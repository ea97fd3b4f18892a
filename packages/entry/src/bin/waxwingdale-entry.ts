/** Command line of the entry daemon. */
import { SettingsError, getErrorMessage } from "@waxwingdale/core";
import sade from "sade";
import { ListenError } from "../http-listener.js";
import { startEntry } from "../run-entry.js";
import { readFleetKey, readSettings } from "../settings.js";

enum ExitCode {
    Settings = 2,
    Listen = 3,
    Internal = 70,
}

interface Flags {
    settings: string;
    check: boolean;
}

async function run(flags: Flags): Promise<void> {
    try {
        const settings = await readSettings(flags.settings);
        const fleetKey = await readFleetKey(settings, process.env.WAXWINGDALE_FLEET_KEY);
        if (flags.check) {
            process.stdout.write(`${flags.settings}: ok\n`);
            return;
        }
        await serve(await startEntry(settings, fleetKey));
    } catch (err) {
        process.stderr.write(`waxwingdale-entry: ${getErrorMessage(err)}\n`);
        process.exit(getExitCode(err));
    }
}

/** Logs the addresses and installs signal handlers. A second signal exits immediately, without a graceful shutdown. */
async function serve(entry: Awaited<ReturnType<typeof startEntry>>): Promise<void> {
    const { callers, peers, operators } = entry.listeners;
    entry.logger.info("listening", {
        callers: callers.address,
        peers: peers.address,
        operators: operators.address,
    });
    let stopping: Promise<void> | undefined;
    const stop = () => {
        if (stopping !== undefined) {
            process.exit(ExitCode.Internal);
        }
        stopping = entry.stop().then(
            () => process.exit(),
            (err: unknown) => {
                entry.logger.error("shutdown-failed", { error: getErrorMessage(err) });
                process.exit(ExitCode.Internal);
            },
        );
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    process.on("unhandledRejection", err =>
        entry.logger.error("unhandled-rejection", { error: getErrorMessage(err) }),
    );
}

function getExitCode(err: unknown): ExitCode {
    if (err instanceof SettingsError) {
        return ExitCode.Settings;
    }
    return err instanceof ListenError ? ExitCode.Listen : ExitCode.Internal;
}

sade("waxwingdale-entry", true)
    .version("0.1.0")
    .describe("Entry daemon: serves lookups and forwards requests")
    .option("--settings", "Settings file in JSON with comments", "entry.jsonc")
    .option("--check", "Check the settings and exit", false)
    .action((flags: Flags) => run(flags))
    .parse(process.argv);
