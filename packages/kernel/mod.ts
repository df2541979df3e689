/**
 * Micro-kernel of a jaypass process: service lifecycle and lookup, clock, deadlines, background
 * tasks, logging and metrics.
 *
 * @module
 */

export * from "./close_listener.ts";
export * from "./create_buffered_output.ts";
export * from "./create_caller_timeouts.ts";
export * from "./create_clock.ts";
export * from "./create_connection_pool.ts";
export * from "./create_deadline.ts";
export * from "./create_field_reader.ts";
export * from "./create_kernel.ts";
export * from "./create_logger.ts";
export * from "./create_metrics.ts";
export * from "./create_poll_monitor.ts";
export * from "./create_task_group.ts";
export * from "./create_prometheus_metrics.ts";
export * from "./discard_body.ts";
export * from "./end_connection.ts";
export * from "./errors.ts";
export * from "./limit_log_rate.ts";
export * from "./run_after_read.ts";
export * from "./run_with_backup.ts";
export * from "./service_name.ts";
export * from "./sleep.ts";
export * from "./sleep_until_tick.ts";
export * from "./types.ts";
