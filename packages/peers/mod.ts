/**
 * Public interface of `@jaypass/peers`.
 *
 * @module
 */

export * from "./types.ts";
