/**
 * Public interface of `@jaypass/configuration`.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./create_administration.ts";
export * from "./create_configuration.ts";
export * from "./errors.ts";
export * from "./find_token_owner.ts";
export * from "./list_pools.ts";
export * from "./operator_api.ts";
export * from "./parse_document.ts";
export * from "./resolve_timeout.ts";
export * from "./types.ts";
