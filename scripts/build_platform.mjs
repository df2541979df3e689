// Bundles the host program for the deployment platform into a single file in target/.
import { build } from "esbuild";

await build({
  entryPoints: [{ in: "platform/main.ts", out: "jaypass_host" }],
  outdir: "target",
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  minifySyntax: true,
  external: ["dtrace-provider", "source-map-support", "mv", "safe-json-stringify"],
  banner: {
    js:
      "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
  logLevel: "warning",
});
