// Runs the bundled program with V8's code cache, which scripts/build_platform.mjs writes beside it.
"use strict";
// A SIGHUP would end a process without a handler. The program reads its settings after this.
process.on("SIGHUP", () => {});

const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

/** Name that contains a hash of the program, because V8 compares only the length of a cache's source. */
const PROGRAM = "%PROGRAM%";

const filename = join(__dirname, PROGRAM);

function readCache() {
  try {
    return readFileSync(`${filename}.cache`);
  } catch {
    // Without a cache V8 compiles the program, which takes longer.
    return undefined;
  }
}

// V8 ignores a cache of another version or other options.
const script = new Script(readFileSync(filename, "utf8"), { filename, cachedData: readCache() });
script.runInThisContext()(require);
