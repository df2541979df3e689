/**
 * Public interface of `@jaypass/leases`.
 *
 * @module
 */

export * from "./types.ts";
