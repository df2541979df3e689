// Bundles the host program for the deployment platform into target/, with a code cache for the
// Node.js that runs this script, and with the small program that loads both.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdirSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const TARGET = "target";
const NAME = "jaypass_host";

/** Classes of prom-client that the program uses; the others load more of Node.js, such as TLS. */
const PROM_CLIENT_CLASSES = ["Registry", "Counter", "Gauge", "Histogram"];

/** Leaves out parts of packages that the program does not use and that take long to load. */
const leaveOutUnused = {
  name: "leave-out-unused",
  setup({ onLoad, onResolve }) {
    onLoad({ filter: /[\\/]prom-client[\\/]index\.js$/ }, () => ({
      contents: PROM_CLIENT_CLASSES
        .map((name) => `exports.${name} = require("./lib/${name.toLowerCase()}");`).join("\n"),
    }));
    // bunyan uses them to rotate files and for DTrace, and goes on without them.
    onResolve({ filter: /^(mv|dtrace-provider)$/ }, ({ path }) => ({ path, namespace: "unused" }));
    onLoad({ filter: /.*/, namespace: "unused" }, ({ path }) => ({
      contents: `throw new Error(${JSON.stringify(`"${path}" is not part of the program`)});`,
    }));
  },
};

/** Options of Node.js with which the platform starts the program. */
function readNodeOptions() {
  const [, options = ""] = /^run = "node (.*)target\/jaypass_host\.js/m
    .exec(readFileSync("deploy/system.toml", "utf8")) ?? [];
  return options.split(" ").filter((option) => option !== "");
}

const { outputFiles: [{ text }] } = await build({
  entryPoints: ["platform/main.ts"],
  bundle: true,
  platform: "node",
  // Node.js has no code cache for ES modules.
  format: "cjs",
  target: "node20",
  minifySyntax: true,
  external: ["source-map-support"],
  plugins: [leaveOutUnused],
  banner: { js: "(function (require) {" },
  footer: { js: "})" },
  write: false,
  logLevel: "warning",
});

mkdirSync(TARGET, { recursive: true });
const hash = createHash("sha256").update(text).digest("hex").slice(0, 16);
const program = `${NAME}.${hash}.js`;
for (const file of readdirSync(TARGET)) {
  if (file.startsWith(`${NAME}.`)) rmSync(join(TARGET, file));
}
writeFileSync(join(TARGET, "package.json"), `${JSON.stringify({ type: "commonjs" })}\n`);
writeFileSync(join(TARGET, program), text);
const loader = readFileSync(new URL("load_platform_program.cjs", import.meta.url), "utf8");
writeFileSync(join(TARGET, `${NAME}.js`), loader.replace("%PROGRAM%", program));
const cacheWriter = fileURLToPath(new URL("write_code_cache.mjs", import.meta.url));
try {
  const args = [...readNodeOptions(), cacheWriter, join(TARGET, program)];
  execFileSync(process.execPath, args, { stdio: "inherit" });
} catch (err) {
  // The program starts without the cache, only more slowly.
  console.warn(`Writing the code cache failed: ${err}`);
}
