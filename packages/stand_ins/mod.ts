/**
 * Stand-ins for the external systems that jaypass uses: engines, plain services and the platform.
 *
 * @module
 */

export * from "./create_engine_stand_in.ts";
export * from "./create_platform_stand_in.ts";
export * from "./create_service_stand_in.ts";
export * from "./engine_types.ts";
export * from "./expected_tokens.ts";
export * from "./list_raw_answers.ts";
export * from "./misbehaving_clients.ts";
export * from "./platform_types.ts";
export * from "./run_misbehaving_clients.ts";
export * from "./send_cut_answer.ts";
export * from "./service_types.ts";
export * from "./watch_process.ts";
