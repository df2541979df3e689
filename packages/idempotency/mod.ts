/**
 * Public interface of `@jaypass/idempotency`.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./create_call_ledger.ts";
export * from "./errors.ts";
export * from "./types.ts";
