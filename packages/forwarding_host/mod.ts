/**
 * A host that forwards requests on a platform: its services, their start and their graceful stop.
 *
 * @module
 */

export * from "./age_job.ts";
export * from "./apply_settings.ts";
export * from "./check_row.ts";
export * from "./choose_addresses.ts";
export * from "./constants.ts";
export * from "./create_cluster_view.ts";
export * from "./create_hub_scheduler.ts";
export * from "./create_forwarding_host.ts";
export * from "./create_placement_client.ts";
export * from "./create_placement_parsers.ts";
export * from "./create_reservations.ts";
export * from "./create_stop_state.ts";
export * from "./decide_stop_step.ts";
export * from "./host_context.ts";
export * from "./is_stopping_host_needed.ts";
export * from "./is_stopping_host_replaceable.ts";
export * from "./parse_operator_entry.ts";
export * from "./run_forwarding_host.ts";
export * from "./service_names.ts";
export * from "./types.ts";
