/**
 * Stand-ins of outside systems for tests and experiments.
 *
 * @module
 */

export * from "./create_platform_stand_in.ts";
export * from "./platform_types.ts";
