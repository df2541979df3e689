/**
 * Placement of requests on servers: choice of servers and helpers, queues, retry limits, limits of
 * cold servers and quarantine. Uses no network.
 *
 * @module
 */

export * from "./choose_displaced_job.ts";
export * from "./choose_engines.ts";
export * from "./compute_engine_ms.ts";
export * from "./choose_probe.ts";
export * from "./compute_pass_ms.ts";
export * from "./compute_prefill_ms.ts";
export * from "./compute_retry_after.ts";
export * from "./compute_used_slots_share.ts";
export * from "./compute_weight.ts";
export * from "./constants.ts";
export * from "./create_crash_evidence.ts";
export * from "./create_drain_rate.ts";
export * from "./create_failure_share.ts";
export * from "./create_placer.ts";
export * from "./create_quarantine_list.ts";
export * from "./create_rate_window.ts";
export * from "./create_refusal_register.ts";
export * from "./create_retry_limiter.ts";
export * from "./create_retry_shares.ts";
export * from "./create_served_shares.ts";
export * from "./create_server_load.ts";
export * from "./create_share_policy.ts";
export * from "./create_server_speed.ts";
export * from "./create_slot_queue.ts";
export * from "./create_long_prompt_queue.ts";
export * from "./create_workspace_usage.ts";
export * from "./find_unservable_jobs.ts";
export * from "./list_content_keys.ts";
export * from "./list_hedge_servers.ts";
export * from "./order_waiting_jobs.ts";
export * from "./placer_types.ts";
export * from "./sample_two.ts";
export * from "./types.ts";
