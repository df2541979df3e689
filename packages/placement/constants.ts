/**
 * Constants of placement.
 *
 * @module
 */

/** Maximum number of helpers that an engine accepts for one prompt, from the engine protocol. */
export const MAX_HELPERS = 16;

/** Part of each pause goal kept free for unplanned prefills, for example those of helpers. */
export const PAUSE_SLACK_MS = 50;

/** Longest prefill for which one engine beside other requests is tried before a split. */
export const PACKED_PREFILL_MAX_MS = 450;

/**
 * Longest prefill that is not split. Each part waits for a pass of its engine, which takes about
 * half of this time, so splitting a shorter prefill saves nothing.
 */
export const UNSPLIT_PREFILL_MAX_MS = 80;

/** Share of the first-byte goal that a plan may use; the rest covers queueing and the network. */
export const FIRST_BYTE_GOAL_SHARE = 0.6;

/**
 * Share of the first-byte goal below which more engines do not lower the cost of a split. A smaller
 * value splits prompts further and frees engines sooner; a larger one leaves more engines to short
 * prompts in the meantime.
 */
export const SPLIT_GOAL_SHARE = 0.35;

/** Slots of an engine that packing leaves free for requests that this placer does not know of. */
export const SPARE_SLOTS = 1;

/** Passes from a freed slot of a full engine to the first byte: the running pass and the next. */
export const PASSES_TO_FIRST_BYTE = 2;

/**
 * Share of the estimated answer for which time is reserved before the deadline. Callers' estimates
 * are often far off, and a prompt must not be refused because of an overestimate.
 */
export const RESERVED_ANSWER_SHARE = 0.5;

/** Share of the slots of a service that must be free for a hedge, so that it delays no other request. */
export const MIN_HEDGE_FREE_SHARE = 0.25;

/** Share of the retry budget that hedges may use; the rest is left to requests whose server failed. */
export const HEDGE_RETRY_BUDGET_SHARE = 0.5;

/** Time for which a server is avoided after a failure; doubles with each consecutive failure. */
export const SUSPECT_BASE_MS = 800;

/** Maximum time in milliseconds for which a failing server is avoided. */
export const SUSPECT_MAX_MS = 6_000;

/** Least number of consecutive crashes after which requests are not sent to a second server. */
export const SUSPECT_CRASH_ROUNDS = 2;

/** Least number of consecutive crashes after which content counts as their cause. */
export const MIN_CRASH_ROUNDS = 3;

/** Number of consecutive crashes that suffices, however many other requests crash. */
export const MAX_CRASH_ROUNDS = 5;

/** Accepted probability that sound content crashes in each round by chance. */
export const CRASH_CHANCE = 0.001;

/** Milliseconds of suspicion in which a sound request with the same content may be answered. */
export const MIN_SUSPICION_MS = 1_000;

/** Interval in milliseconds at which crashes are reviewed. */
export const CRASH_REVIEW_INTERVAL_MS = 50;

/** Milliseconds after a server's end within which hosts report the attempts that it ended. */
export const CRASH_SETTLE_MS = 100;

/** Milliseconds for which an answer shows that its content does not crash servers. */
export const ANSWER_MEMORY_MS = 2_000;

/** Maximum number of content keys whose answers are remembered. */
export const MAX_ANSWERED_KEYS = 5_000;

/** Milliseconds for which a crash counts. */
export const CRASH_EVIDENCE_MS = 600_000;

/** Maximum number of crashes that are remembered. */
export const MAX_CRASH_RECORDS = 200;

/** Maximum number of attempts that are remembered of one crash. */
export const MAX_CRASH_ATTEMPTS = 32;

/**
 * Milliseconds from the first byte of an answer after which its content is not the cause of crashes
 * before or shortly after the first byte.
 */
export const HARMLESS_AFTER_MS = 500;

/** Multiple of the time from the first byte to a crash after which a run shows that it was another's. */
export const HARMLESS_RUN_FACTOR = 2;

/** Milliseconds for which content is held in quarantine before the first trial. */
export const QUARANTINE_HOLD_MS = 120_000;

/** Factor by which each trial lengthens the quarantine, since a trial may cost a server. */
export const QUARANTINE_HOLD_FACTOR = 10;

/** Longest time from one trial to the next. */
export const QUARANTINE_MAX_HOLD_MS = 86_400_000;

/** Maximum number of quarantines. */
export const MAX_QUARANTINES = 1_000;

/** Milliseconds for which a lifted quarantine is remembered, so that late messages do not restore it. */
export const RELEASE_MEMORY_MS = 600_000;

/** Retry delay given to callers that are refused because no server can take the request. */
export const NO_SERVER_RETRY_AFTER_MS = 500;

/** Retry delay given to callers that are refused because the retry budget is used up. */
export const BUDGET_RETRY_AFTER_MS = 500;

/** Retry delay given to callers that are refused because of the limit of cold servers. */
export const COLD_RETRY_AFTER_MS = 300;

/** Window over which the limit of cold servers applies, from the engine protocol. */
export const COLD_WINDOW_MS = 1_000;

/** Milliseconds added to the expected time to the first byte for connection and network. */
export const NETWORK_OVERHEAD_MS = 15;

/** Share of an engine's memory that placement fills, as answers may exceed their estimates. */
export const USABLE_MEMORY_SHARE = 0.95;

/** Prompt tokens that one answer token counts for, as the users' rules define it. */
export const ANSWER_TOKEN_WEIGHT = 10;

/** Share of a request's weight that its lateness costs; routes define no values of their own. */
export const LATE_COST_SHARE = 0.75;

/** Multiple of a request's weight that it costs when it is not answered by its deadline. */
export const UNANSWERED_COST_FACTOR = 3;

/** Maximum cost of delaying other requests for a late prompt, as a share of the prompt's weight. */
export const LATE_MAX_DELAY_COST_SHARE = 0.1;

/** The same maximum for a prompt whose deadline is close. */
export const URGENT_MAX_DELAY_COST_SHARE = 0.5;

/** Maximum prefill of a part of a late prompt, as a share of the slack before its deadline. */
export const LATE_PART_DEADLINE_SHARE = 0.33;

/** Prefill time on one engine from which a prompt counts as long and may wait for idle engines. */
export const LONG_PREFILL_MIN_MS = 800;

/**
 * Decoding requests by which an engine in the data centre of a prompt's host may be less packed than
 * the best one. Without this limit long prompts earned 0.036 less in a simulated heavy load.
 */
export const MAX_FEWER_DECODING = 2;

/** Share of an engine's slots that short prompts fill before another engine is used. */
export const PACKED_SLOTS_SHARE = 0.6;

/** The same share while long prompts wait for idle engines. */
export const TIGHT_PACKED_SLOTS_SHARE = 0.9;

/** Slots reserved for short prompts on top of the current ones and their expected growth. */
export const RESERVED_FREE_SLOTS = 4;

/** Factor by which the number of short prompts is expected to grow during a long prefill. */
export const SHORT_PROMPT_GROWTH_FACTOR = 1.2;

/** Maximum backlog of prefills on the engines that a queued long prompt is sent to. */
export const READY_MAX_BACKLOG_MS = 0;

/** Slack before its goal at which a long prompt is sent even if it makes other requests late. */
export const DISPATCH_SLACK_MS = 150;

/** Maximum prefill of a part of a late prompt whose deadline is not close yet. */
export const LATE_PART_MAX_MS = 1_000;

/** The same maximum as a multiple of the shortest possible part, for services with few engines. */
export const LATE_PART_MAX_FACTOR = 1.5;

/** Milliseconds kept before the deadline of a late prompt in addition to its prefill and answer. */
export const DEADLINE_MARGIN_MS = 2_500;

/**
 * Queued short prompts of a service that are tried in vain in one review. Each try looks at all engines
 * of the service.
 */
export const MAX_VAIN_TRIES = 8;

/** The same limit for long prompts, of which fewer wait. */
export const MAX_LONG_VAIN_TRIES = 16;

/** Interval in milliseconds at which queued prompts are checked. */
export const QUEUE_CHECK_INTERVAL_MS = 50;

/** Maximum number of queued prompts; further prompts are placed or refused at once. */
export const MAX_QUEUED_PROMPTS = 200;

/** Time in which the counted work of a workspace falls to 37 in 100. */
export const USAGE_DECAY_MS = 5_000;

/** Engine milliseconds below which a workspace counts as one without recent work. */
export const MIN_USAGE_MS = 1;

/** Maximum number of workspaces, over all services, whose work is counted; the least recent is dropped. */
export const MAX_TRACKED_WORKSPACES = 8_192;

/**
 * Maximum number of workspaces, over all services, whose retries are counted; the least recent is dropped.
 * Each retry looks at all of them.
 */
export const MAX_RETRY_WORKSPACES = 1_024;

/** Maximum number of refused requests that are remembered. */
export const MAX_REFUSALS = 4_096;

/** Time for which a refused request is remembered, longer than callers wait for an answer. */
export const REFUSAL_MEMORY_MS = 15_000;

/** Share of the time that it has left for which a caller waits at most before it comes back. */
export const RETRY_AFTER_MAX_SHARE = 1 / 3;

/** Share of a retry delay over which the delays of callers are spread. */
export const RETRY_AFTER_SPREAD_SHARE = 0.5;

/** Share of its goal after which a waiting job moves up one step of urgency. */
export const AGEING_GOAL_SHARE = 0.5;

/** Time in which the counted decisions on the requests of a priority fall to 37 in 100. */
export const SERVED_DECAY_MS = 15_000;

/** Least number of counted decisions from which the served share of a priority is compared. */
export const MIN_DECIDED_REQUESTS = 10;

/** Time over which the work that engines end is counted while prompts wait. */
export const DRAIN_WINDOW_MS = 3_000;

/** Time for which prompts must have waited before the rate at which engines end work is known. */
export const DRAIN_MIN_MS = 1_000;

/** Least number of ended requests from which that rate is known, because single ones vary widely. */
export const DRAIN_MIN_ENDED = 8;

/** Multiple of the observed rate with which a prompt must still be unservable to be refused. */
export const UNSERVABLE_RATE_FACTOR = 2;

/** Share of the slots that must be in use for a prompt to be refused because of the work before it. */
export const UNSERVABLE_MIN_SLOTS_SHARE = 0.5;

/** Milliseconds for which an engine's report of requests from other hosts is valid. */
export const REPORT_VALID_MS = 1_500;

/** Prefill headroom of an engine with requests of other hosts, whose pause goals are not known. */
export const FOREIGN_PREFILL_HEADROOM_MS = 150;

/** Multiple of the usual request size beyond which used memory indicates a long prefill. */
export const FOREIGN_SIZE_FACTOR = 2;

/** Largest factor by which a slow server's expected times are multiplied. */
export const MAX_SPEED_FACTOR = 8;

/** Ratio to the service's usual speed from which a sample says that a server is slow. */
export const SLOW_RATIO = 1.5;

/**
 * The same ratio from which a single sample lets the pace of the server be requested, and from which a
 * request that still waits is a sample.
 */
export const WATCH_RATIO = 2;

/**
 * Samples of at least this ratio that make a server count as slow. With 3 of 1.5, sound engines counted
 * as slow in 2 of 6 simulated bursts; with 4, in none.
 */
export const MIN_SLOW_SAMPLES = 4;

/** The same number for samples of at least {@linkcode WATCH_RATIO}. */
export const MIN_WATCH_SAMPLES = 3;

/** Number of samples of a server's speed that are kept. */
export const SPEED_SAMPLES = 5;

/** Time for which a sample says something about a server's speed. */
export const SPEED_SAMPLE_VALID_MS = 3_000;

/** Time for which a sample counts towards the usual ratio of the service. */
export const TYPICAL_RATIO_VALID_MS = 30_000;

/** Least time between the placements of two samples of a server: about a pass of an engine. */
export const SPEED_SAMPLE_GAP_MS = 50;

/**
 * Least expected time to the first byte of a sample. In shorter times the network and the start of the
 * next pass outweigh the server's speed.
 */
export const MIN_SPEED_SAMPLE_MS = 50;

/** Time without a new estimate for which a speed factor holds. */
export const SPEED_HOLD_MS = 1_500;

/** Time after that in which it falls to 1. */
export const SPEED_DECAY_MS = 3_000;

/** Time for which the pace that an engine has stated takes precedence over samples. */
export const PACE_VALID_MS = 1_500;

/** Pace below which an engine counts as having its usual speed. */
export const STEADY_PACE = 1.1;

/** Time after a server was slow for which its pace is still requested. */
export const SPEED_WATCH_MS = 2_500;

/** Time since the last placement after which a placer leaves requests for the pace to others. */
export const ACTIVE_PLACER_MS = 1_500;

/** Time in which the weight of a server's past outcomes falls to a third. */
export const FAILURE_MEMORY_MS = 5_000;

/** Weight of failures below which a server counts as sound, so that a single one has no effect. */
export const MIN_FAILURES = 1.5;

/** Failures in a row from which a server that has failed only part of its requests counts as down. */
export const MAX_CONSECUTIVE_FAILURES = 5;

/** Number of outcomes without a failure that are assumed of each server. */
export const FAILURE_PRIOR_OUTCOMES = 2;

/** Share of failed requests below which a server counts as sound. */
export const SOUND_FAILURE_SHARE = 0.1;

/** Share of failed requests from which a server gets only probes. */
export const MOSTLY_FAILING_SHARE = 0.5;

/** Share of a service's short jobs that may go to slow or failing servers as probes. */
export const PROBE_JOB_SHARE = 0.05;

/** Time without a request after which a slow or failing server gets a probe. */
export const PROBE_IDLE_MS = 500;

/** Part of a job's goal that it may have waited to be used as a probe. */
export const PROBE_MAX_WAIT_SHARE = 0.3;
