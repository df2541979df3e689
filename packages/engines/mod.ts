/**
 * Clients of model engines and of plain services.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./create_engine_client.ts";
export * from "./create_service_client.ts";
export * from "./errors.ts";
export * from "./hash_prefix_blocks.ts";
export * from "./types.ts";
