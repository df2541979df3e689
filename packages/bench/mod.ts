/**
 * Load generator, simulations and benchmarks.
 *
 * @module
 */

export * from "./create_policy_target.ts";
export * from "./make_workload.ts";
export * from "./profiles.ts";
export * from "./run_load.ts";
export * from "./summarise.ts";
export * from "./write_report.ts";
