import config from "./ava.config.js";

/** Tests whose crowds of clients take all of a machine: one at a time, and nothing beside them. */
export default { ...config, files: ["**/misbehaving_*_test.ts"], concurrency: 1, serial: true };
