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

/** Options of Node.js with which the platform starts the program. */
function readNodeOptions() {
  const [, options] = /^run = "node (.*)target\/jaypass_host\.js"$/m
    .exec(readFileSync("deploy/system.toml", "utf8"));
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
  external: ["dtrace-provider", "source-map-support", "mv", "safe-json-stringify"],
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
