/**
 * Public interface of `@jaypass/admission`.
 *
 * @module
 */

export * from "./classify_lane.ts";
export * from "./constants.ts";
export * from "./create_admission.ts";
export * from "./create_coordinator.ts";
export * from "./create_quarantine.ts";
export * from "./create_quota_coordinator.ts";
export * from "./create_scheduler.ts";
export * from "./errors.ts";
export * from "./messages.ts";
export * from "./rank_by_hash.ts";
export * from "./types.ts";
export type { CreateLease } from "./_lib/coordinator_set.ts";
export type { ServerProbe } from "./_lib/poll_server.ts";
