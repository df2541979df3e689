/**
 * Limits on what clients make a process hold and work: memory, connections and turns of the HTTP
 * parser, for every server that clients reach.
 *
 * @module
 */

export * from "./compute_host_limits.ts";
export * from "./constants.ts";
export * from "./count_head_cost.ts";
export * from "./count_header_bytes.ts";
export * from "./create_body_collector.ts";
export * from "./create_client_limits.ts";
export * from "./create_head_overflow.ts";
export * from "./create_memory_account.ts";
export type { ConnectionMemory } from "./_lib/open_connection_memory.ts";
export type { ReceivedHead } from "./_lib/create_connection_gate.ts";
