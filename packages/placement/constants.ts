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
export const PACKED_PREFILL_MAX_MS = 450;

/**
 * Milliseconds of reading up to which a prompt is never split. A part waits for a pass of its engine,
 * which takes about half of that, so splitting a shorter read saves nothing.
 */
export const UNSPLIT_PREFILL_MAX_MS = 80;

/** Part of the goal for the first byte that a plan may use; the rest covers queueing and network. */
export const FIRST_BYTE_GOAL_SHARE = 0.6;

/**
 * Part of the goal below which a split gains nothing by more engines. Smaller values free engines
 * sooner, larger ones leave more engines to short prompts meanwhile.
 */
export const SPLIT_GOAL_SHARE = 0.35;

/** Slots of an engine left free by packing, for requests that placement did not see. */
export const SPARE_SLOTS = 1;

/** Passes of a full engine between a free slot and the first byte: the one under way and the next. */
export const PASSES_TO_FIRST_BYTE = 2;

/**
 * Part of the estimated answer for which time is kept before the deadline. Callers' estimates are
 * often far off, and a prompt must not be refused for an answer that is shorter.
 */
export const RESERVED_ANSWER_SHARE = 0.5;

/** Milliseconds for which a server is avoided after its first failure in a row. */
export const SUSPECT_BASE_MS = 800;

/** Longest time in milliseconds for which a failing server is avoided. */
export const SUSPECT_MAX_MS = 6_000;

/** Broken exchanges without an answer after which a fingerprint is quarantined. */
export const QUARANTINE_CRASH_COUNT = 3;

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
export const NETWORK_OVERHEAD_MS = 15;

/** Share of an engine's memory that placement fills; answers may grow beyond their estimate. */
export const USABLE_MEMORY_SHARE = 0.95;

/** Tokens of a prompt that one token of an answer counts for, from the users' rules. */
export const ANSWER_TOKEN_WEIGHT = 10;

/** Part of a request's weight that counts as lost when it is late; no route states its own. */
export const LATE_COST_SHARE = 0.75;

/** Multiple of a request's weight that is lost when it waited in vain until its deadline. */
export const UNANSWERED_COST_FACTOR = 3;

/** Part of a late prompt's weight that the writers may lose which it delays. */
export const LATE_MAX_DELAY_COST_SHARE = 0.1;

/** The same for a prompt whose deadline presses. */
export const URGENT_MAX_DELAY_COST_SHARE = 0.5;

/** Part of the time to its deadline that a late prompt may be read for on few engines. */
export const LATE_PART_DEADLINE_SHARE = 0.33;

/** Milliseconds of reading on one engine from which a prompt may wait for quiet engines. */
export const LONG_PREFILL_MIN_MS = 800;

/** Part of an engine's slots up to which short prompts are packed before another engine is opened. */
export const PACKED_SLOTS_SHARE = 0.6;

/** The same while long prompts wait for quiet engines. */
export const TIGHT_PACKED_SLOTS_SHARE = 0.9;

/** Slots kept for short prompts beside what the present ones take and may grow to. */
export const RESERVED_FREE_SLOTS = 4;

/** Factor by which short prompts are taken to grow while a long one is read. */
export const SHORT_PROMPT_GROWTH_FACTOR = 1.2;

/** Milliseconds of reads before it that a long prompt accepts when it leaves the line. */
export const READY_MAX_BACKLOG_MS = 0;

/** Milliseconds before its last chance to be in time at which a long prompt leaves the line. */
export const DISPATCH_SLACK_MS = 150;

/** Longest part in milliseconds of a late prompt that does not yet press for its deadline. */
export const LATE_PART_MAX_MS = 1_000;

/** The same as a multiple of the shortest possible part, where few engines are left. */
export const LATE_PART_MAX_FACTOR = 1.5;

/** Milliseconds beside its read and answer that a late prompt keeps before its deadline. */
export const DEADLINE_MARGIN_MS = 2_500;

/** Milliseconds between two looks at the line when nothing else happens. */
export const QUEUE_CHECK_INTERVAL_MS = 50;

/** Prompts that wait at most; beyond it they are placed at once. */
export const MAX_QUEUED_PROMPTS = 200;

/** Milliseconds for which an engine's report on requests that were placed elsewhere counts. */
export const REPORT_VALID_MS = 1_500;

/** Milliseconds of reading that fit beside writers of which only the number is known. */
export const FOREIGN_PREFILL_HEADROOM_MS = 150;

/** Multiple of the usual size beyond which memory in use shows that a long prompt is read. */
export const FOREIGN_SIZE_FACTOR = 2;
