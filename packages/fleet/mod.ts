/**
 * Coordination of the hosts: cached rows of the store, links between hosts, hub selection and
 * liveness.
 *
 * @module
 */

export * from "./choose_hubs.ts";
export * from "./constants.ts";
export * from "./create_fleet.ts";
export * from "./create_hub_client.ts";
export * from "./create_hub_server.ts";
export * from "./create_row_cache.ts";
export * from "./create_store_follower.ts";
export * from "./create_table_ages.ts";
export * from "./decode_revision.ts";
export * from "./encode_revision.ts";
export * from "./errors.ts";
export * from "./is_address.ts";
export * from "./messages.ts";
export * from "./parse_host_entry.ts";
export * from "./parse_server_entry.ts";
export * from "./rank_hubs.ts";
export * from "./types.ts";
