/**
 * Placement of requests on servers: choice of servers and helpers, queues, retry limits, limits of
 * cold servers and quarantine. Uses no network.
 *
 * @module
 */

export * from "./choose_engines.ts";
export * from "./compute_pass_ms.ts";
export * from "./compute_prefill_ms.ts";
export * from "./compute_weight.ts";
export * from "./constants.ts";
export * from "./create_crash_evidence.ts";
export * from "./create_placer.ts";
export * from "./create_quarantine_list.ts";
export * from "./create_rate_window.ts";
export * from "./create_retry_limiter.ts";
export * from "./create_server_load.ts";
export * from "./create_slot_queue.ts";
export * from "./create_long_prompt_queue.ts";
export * from "./list_content_keys.ts";
export * from "./list_hedge_servers.ts";
export * from "./placer_types.ts";
export * from "./sample_two.ts";
export * from "./types.ts";
