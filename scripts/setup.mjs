// Installs the declared packages when they are missing or the lock file has changed since the last install.
import { execFileSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";

const stamp = "node_modules/.cache/installed-lock.sha256";
const digest = createHash("sha256").update(readFileSync("package-lock.json")).digest("hex");
const installed = existsSync(stamp) ? readFileSync(stamp, "utf8") : "";
if (installed !== digest) {
    execFileSync("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"], { stdio: "inherit" });
    mkdirSync("node_modules/.cache", { recursive: true });
    writeFileSync(stamp, digest);
}
