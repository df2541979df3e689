/**
 * Public interface of `@jaypass/configuration`.
 *
 * @module
 */

export * from "./types.ts";
