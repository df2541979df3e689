// Bundles every program of the repository into dist/, so that processes start without a transpiler.
import { build } from "esbuild";
import { existsSync, readFileSync } from "node:fs";

/** Entry file of each program, by program name. */
const programs = JSON.parse(readFileSync(new URL("programs.json", import.meta.url), "utf8"));

const entryPoints = Object.entries(programs)
  .filter(([, file]) => existsSync(file))
  .map(([name, file]) => ({ in: file, out: name }));

await build({
  entryPoints,
  outdir: "dist",
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  sourcemap: true,
  external: ["dtrace-provider", "unix-dgram", "source-map-support", "mv", "safe-json-stringify"],
  banner: {
    js:
      "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
  logLevel: "warning",
});
