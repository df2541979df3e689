/**
 * Clients of model engines and of plain services.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./hash_prefix_blocks.ts";
export * from "./types.ts";
