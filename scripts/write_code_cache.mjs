// Writes V8's code cache of a script: node OPTIONS write_code_cache.mjs SCRIPT. V8 accepts the cache
// only under the same options and the same version.
import { readFileSync, writeFileSync } from "node:fs";
import { setFlagsFromString } from "node:v8";
import { Script } from "node:vm";

const [, , filename] = process.argv;

// All functions are compiled, also those that are used only later. The flag is back at its default
// before the cache is made, since the cache holds a hash of the flags.
setFlagsFromString("--no-lazy");
const script = new Script(readFileSync(filename, "utf8"), { filename });
setFlagsFromString("--lazy");
writeFileSync(`${filename}.cache`, script.createCachedData());
