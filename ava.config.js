/** Tests that start crowds of clients run apart from all others; see `misbehaving.config.js`. */
export default {
  files: ["packages/**/*_test.ts", "platform/**/*_test.ts", "!**/misbehaving_*_test.ts"],
  extensions: { ts: "module" },
  nodeArguments: ["--import=tsx"],
  workerThreads: false,
  timeout: "3m",
  concurrency: 4,
};
