/**
 * Public interface of `@jaypass/store_clients`.
 *
 * @module
 */

export type { PlatformClientOptions } from "./_lib/create_store_transport.ts";
export * from "./create_host_list_client.ts";
export * from "./create_object_client.ts";
export * from "./create_table_client.ts";
export * from "./create_weight_client.ts";
export * from "./errors.ts";
export * from "./types.ts";
