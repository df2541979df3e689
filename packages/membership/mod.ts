/**
 * Public interface of `@jaypass/membership`.
 *
 * @module
 */

export * from "./types.ts";
