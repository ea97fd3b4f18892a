// Runs all test files, or those given as arguments, with node:test. Tests listed in KNOWN-RED.txt run separately, and
// their failures are printed but do not fail the run.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { allTests, createNamePattern, parseKnownRed } from "./known-red.mjs";

/** Returns the test files of all packages. */
function listTestFiles() {
    const folders = [...readdirSync("packages").map(pkg => join("packages", pkg)), "platform"];
    return folders.flatMap(folder => {
        const dir = join(folder, "test");
        return existsSync(dir)
            ? readdirSync(dir)
                  .filter(name => name.endsWith(".test.ts"))
                  .map(name => join(dir, name))
            : [];
    });
}

/** Runs test files and returns whether all tests passed. */
function runFiles(files, concurrency, namePattern) {
    const args = [
        "--import",
        "tsx",
        "--test",
        `--test-concurrency=${concurrency}`,
        "--test-reporter=spec",
        ...(namePattern === undefined ? [] : [`--test-name-pattern=${namePattern}`]),
        ...files,
    ];
    return spawnSync(process.execPath, args, { stdio: "inherit" }).status === 0;
}

const known = parseKnownRed(existsSync("KNOWN-RED.txt") ? readFileSync("KNOWN-RED.txt", "utf8") : "");
const all = process.argv.length > 2 ? process.argv.slice(2) : listTestFiles();
const partlyFailing = all.filter(file => known.has(file));
const expectedToPass = all.filter(file => !known.has(file));
// Process-level tests are timing-sensitive, so they run after the others and with less concurrency.
const processLevel = expectedToPass.filter(file => file.endsWith(".process.test.ts"));
const unit = expectedToPass.filter(file => !processLevel.includes(file));
let ok = unit.length === 0 || runFiles(unit, 4);
ok = (processLevel.length === 0 || runFiles(processLevel, 2)) && ok;
for (const file of partlyFailing) {
    const names = known.get(file);
    if (!names.includes(allTests)) {
        ok = runFiles([file], 1, createNamePattern(names, true)) && ok;
    }
    const pattern = names.includes(allTests) ? undefined : createNamePattern(names);
    const result = runFiles([file], 1, pattern) ? "passed now" : "failed as recorded in KNOWN-RED.txt";
    console.log(`known failure ${file}: ${names.join("; ")}: ${result}`);
}
process.exitCode = ok ? 0 : 1;
