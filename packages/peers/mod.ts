/**
 * Public interface of `@jaypass/peers`.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./create_peer_pool.ts";
export * from "./create_peer_server.ts";
export * from "./define_peer_method.ts";
export * from "./errors.ts";
export * from "./types.ts";
