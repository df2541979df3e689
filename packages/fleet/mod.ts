/**
 * The hosts together: copies of the store's rows, links between hosts, hubs and who is alive.
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
export * from "./errors.ts";
export * from "./messages.ts";
export * from "./rank_hubs.ts";
export * from "./types.ts";
