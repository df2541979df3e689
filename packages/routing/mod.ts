/**
 * Execution of requests on their host: attempts, retries, streaming and resumption of streams.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./create_request_id.ts";
export * from "./create_retry_budget.ts";
export * from "./create_router.ts";
export * from "./errors.ts";
export * from "./parse_request_id.ts";
export * from "./peer_methods.ts";
export * from "./types.ts";
