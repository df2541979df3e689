/**
 * Figures of placement.
 *
 * @module
 */

/** Most helpers that an engine accepts for one prompt, from the engine protocol. */
export const MAX_HELPERS = 16;

/** Milliseconds of a pause goal kept free for reads that nobody planned, for example of helpers. */
export const PAUSE_SLACK_MS = 50;

/** Longest part of a joint read in milliseconds on an engine without writers that it would delay. */
export const QUIET_PART_MS = 450;

/** Part of the goal for the first byte that a plan may use; the rest covers queueing and network. */
export const GOAL_SHARE = 0.6;

/** Slots of an engine left free by packing, for requests that placement did not see. */
export const SPARE_SLOTS = 1;

/** Milliseconds for which a server is avoided after its first failure in a row. */
export const SUSPECT_BASE_MS = 800;

/** Longest time in milliseconds for which a failing server is avoided. */
export const SUSPECT_MAX_MS = 6_000;

/** Broken exchanges without an answer after which a fingerprint is quarantined. */
export const QUARANTINE_AFTER = 3;

/** Milliseconds for which a quarantined fingerprint is refused, and broken exchanges count. */
export const QUARANTINE_MS = 60_000;

/** Fingerprints remembered at most. */
export const QUARANTINE_MAX_ENTRIES = 2_000;

/** Milliseconds after which a refused caller may come back when no server is usable. */
export const NO_SERVER_RETRY_AFTER_MS = 500;

/** Milliseconds after which a caller refused for the retry budget may come back. */
export const BUDGET_RETRY_AFTER_MS = 500;

/** Milliseconds after which a caller refused for a cold limit may come back. */
export const COLD_RETRY_AFTER_MS = 300;

/** Milliseconds added to the expected first byte for connection and network. */
export const OVERHEAD_MS = 15;

/** Share of an engine's memory that placement fills; answers may grow beyond their estimate. */
export const MEMORY_SHARE = 0.95;
