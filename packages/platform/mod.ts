/**
 * Public interface of `@jaypass/platform`.
 *
 * @module
 */

export * from "./types.ts";
