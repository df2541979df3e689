/**
 * Public interface of `@jaypass/engines`.
 *
 * @module
 */

export * from "./types.ts";
