/**
 * Public interface of `@jaypass/configuration`.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./create_configuration.ts";
export * from "./errors.ts";
export * from "./list_pools.ts";
export * from "./parse_document.ts";
export * from "./resolve_timeout.ts";
export * from "./types.ts";
