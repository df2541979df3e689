/**
 * Forwarding of opaque requests and event streams to backend servers, by host name and path prefix.
 *
 * @module
 */

export * from "./check_answer_end.ts";
export * from "./choose_target.ts";
export * from "./compare_priorities.ts";
export * from "./constants.ts";
export * from "./compute_answer_ms.ts";
export * from "./compute_latest_start_ms.ts";
export * from "./compute_shortest_first_byte_ms.ts";
export * from "./compute_stop_answer_ms.ts";
export * from "./create_event_splitter.ts";
export * from "./create_forwarder.ts";
export * from "./create_hedge_budget.ts";
export * from "./create_hedging.ts";
export * from "./create_job_ids.ts";
export * from "./create_latency_quantiles.ts";
export * from "./detect_reset.ts";
export * from "./ends_with_connection.ts";
export * from "./create_server_notices.ts";
export * from "./errors.ts";
export * from "./index_configuration.ts";
export * from "./match_route.ts";
export * from "./open_exchange.ts";
export * from "./parse_configuration_document.ts";
export * from "./should_hedge.ts";
export * from "./types.ts";
export type {
  ForwardingContext,
  ForwardingServer,
  HostStop,
  PlacementClient,
  Reservation,
  ReservationClient,
  StopTime,
} from "./_lib/request_context.ts";
export type { ConnectionCounts } from "./_lib/create_connection_closer.ts";
