/**
 * Starts complete systems as separate processes, for tests, the demo and load runs.
 *
 * @module
 */

export * from "./answer_checks.ts";
export * from "./build_document.ts";
export * from "./create_caller.ts";
export * from "./start_system.ts";
