/**
 * Public interface of `@jaypass/cli`.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./create_operator_client.ts";
export * from "./errors.ts";
export * from "./run_cli.ts";
export * from "./types.ts";
