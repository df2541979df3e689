/**
 * Public interface of `@jaypass/leases`.
 *
 * @module
 */

export * from "./compute_allowance.ts";
export * from "./confirm_holder_dead.ts";
export * from "./constants.ts";
export * from "./create_lease.ts";
export * from "./create_lease_renewer.ts";
export * from "./errors.ts";
export * from "./types.ts";
