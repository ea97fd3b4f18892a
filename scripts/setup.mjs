// Installs the dependencies if they are missing or the lock file has changed since the last installation.
import { execFileSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";

const stampFile = "node_modules/.cache/installed-lock.sha256";
const lockDigest = createHash("sha256").update(readFileSync("package-lock.json")).digest("hex");
const installedDigest = existsSync(stampFile) ? readFileSync(stampFile, "utf8") : "";
if (installedDigest !== lockDigest) {
    execFileSync("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"], { stdio: "inherit" });
    mkdirSync("node_modules/.cache", { recursive: true });
    writeFileSync(stampFile, lockDigest);
}
