/**
 * Constants of admission.
 *
 * @module
 */

/**
 * A grant is void unless it is dispatched within this time after its request was sent. A coordinator
 * stops granting this long before its lease lapses, so no full-limit grant outlives a takeover.
 */
export const GRANT_DISPATCH_WINDOW_MS = 1_000;
/**
 * Longest wait of one `Acquire` call. Half the dispatch window, so that a grant given at the end of
 * the wait still leaves time to dispatch; a longer wait takes several calls.
 */
export const ACQUIRE_WAIT_MS = 500;
/** A waiting request is dropped when its host has not called again for this long. */
export const ABANDONED_AFTER_MS = 1_500;
/** Interval of reports from a host to each coordinator that it has grants with. */
export const REPORT_INTERVAL_MS = 2_000;
/** Silence of a host after which the coordinator asks for its incarnation. */
export const HOST_SILENCE_MS = 6_000;
/** Time in which a new coordinator collects running work before it grants. */
export const REBUILD_MS = 3_000;
/** Interval at which a coordinator reads load and active requests of its servers. */
export const SERVER_POLL_INTERVAL_MS = 1_000;
/** Limit of one call to a server for load, active requests or a cancellation. */
export const SERVER_CALL_TIMEOUT_MS = 900;
/** Hosts that compete for the lease of one pool. */
export const CANDIDATES_PER_POOL = 3;
/** Pools tried for one request. */
export const MAX_POOL_TRIES = 4;
/** Most uncached prompt tokens in the lane `short`. */
export const SHORT_MAX_TOKENS = 8_192;
/** Most uncached prompt tokens in the lane `medium`. */
export const MEDIUM_MAX_TOKENS = 100_000;
/** Prefix blocks remembered per server. */
export const PREFIX_BLOCKS_PER_SERVER = 20_000;
/**
 * Granted prefill work that may wait on a server. Work beyond it waits in the lane, where a later
 * request with an earlier deadline can still overtake it.
 */
export const MAX_BACKLOG_MS = 150;
/** Waiting requests of a pool beyond which some are shed. */
export const MAX_WAITING_REQUESTS = 512;
/** Entries examined per lane in one scheduling round, which bounds its cost. */
export const MAX_SCANNED_PER_LANE = 16;
/** Wait at the head of a lane after which a request is served next. */
export const OVERDUE_AFTER_MS = { short: Infinity, medium: 2_000, long: 4_000 } as const;
/** Share of the engines that short and medium work may fill on average before long work yields. */
export const MAX_SHORT_UTILISATION = 0.6;
/** Time constant of the averages that steer the share of long work. */
export const WORKLOAD_TIME_CONSTANT_MS = 30_000;
/** A first token later than this multiple of the estimate makes a warm server cold. */
export const SLOW_FACTOR = 5;
/** Smallest excess over the estimate that counts as slow; below it timer noise decides. */
export const SLOW_EXCESS_MS = 1_000;
/** Validity of a quarantine. */
export const QUARANTINE_MS = 3_600_000;
/** Time after which a suspect without a second crash is forgotten. */
export const SUSPECT_TTL_MS = 600_000;
/** Number of quota shards. */
export const QUOTA_SHARDS = 32;
/** Idle quota slots are returned after this time. */
export const QUOTA_IDLE_TIMEOUT_MS = 500;
/** Quota slots asked for beyond the immediate need, so that a busy workspace rarely waits. */
export const QUOTA_PREFETCH_SLOTS = 2;
/**
 * Longest pause of grants on a server after a connection to it broke. Within it a load report made
 * after the loss normally tells whether the server died; a request granted before that would be
 * taken for one that ran on it when it died.
 */
export const LOST_CONNECTION_PAUSE_MS = 2_000;
/**
 * Least share of an engine's time that a long prefill on it gets. Without it engines that put short
 * work first would never finish a long prompt in overload.
 */
export const MIN_LONG_TIME_SHARE = 0.5;
/**
 * Part of the time to a deadline that the estimate of a new request may fill. Estimates are off by
 * some tenths, and a queue that is full to its deadlines answers late.
 */
export const USABLE_DEADLINE_SHARE = 0.8;
