/**
 * Public interface of `@jaypass/membership`.
 *
 * @module
 */

export * from "./choose_addresses.ts";
export * from "./constants.ts";
export * from "./create_drain.ts";
export * from "./create_incarnation.ts";
export * from "./create_membership.ts";
export * from "./types.ts";
