/**
 * Public interface of `@jaypass/admission`.
 *
 * @module
 */

export * from "./types.ts";
