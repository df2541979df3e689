/**
 * Public interface of `@jaypass/idempotency`.
 *
 * @module
 */

export * from "./types.ts";
