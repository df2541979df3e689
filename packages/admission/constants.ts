/**
 * Constants of admission.
 *
 * @module
 */

/**
 * A grant expires unless it is dispatched within this time after the request for it was sent. A
 * coordinator stops granting this long before its lease lapses, so that no grant under its full
 * limits is dispatched after a takeover.
 */
export const GRANT_DISPATCH_WINDOW_MS = 1_000;
/**
 * Longest wait of one `Acquire` call; a longer wait takes several calls. It is half the dispatch
 * window, so that a grant at the end of the wait still leaves time to dispatch.
 */
export const ACQUIRE_WAIT_MS = 500;
/** Time without a call from its host after which a waiting request is removed. */
export const ABANDONED_AFTER_MS = 1_500;
/** Interval of reports from a host to each coordinator that it has grants with. */
export const REPORT_INTERVAL_MS = 2_000;
/** Silence of a host after which the coordinator asks for its incarnation. */
export const HOST_SILENCE_MS = 6_000;
/** Time in which a new coordinator collects running work before its first grant. */
export const REBUILD_MS = 3_000;
/** Interval at which a coordinator reads load and active requests of its servers. */
export const SERVER_POLL_INTERVAL_MS = 1_000;
/** Timeout of a call to a server for its load, its active requests or a cancellation. */
export const SERVER_CALL_TIMEOUT_MS = 900;
/** Number of hosts that compete for the lease of a pool or quota shard. */
export const CANDIDATES_PER_POOL = 3;
/** Maximum number of pools tried for one request. */
export const MAX_POOL_TRIES = 4;
/** Maximum uncached prompt tokens of a request in the lane `short`. */
export const SHORT_MAX_TOKENS = 8_192;
/** Maximum uncached prompt tokens of a request in the lane `medium`. */
export const MEDIUM_MAX_TOKENS = 100_000;
/** Maximum number of prefix blocks in the index of a server. */
export const PREFIX_BLOCKS_PER_SERVER = 20_000;
/**
 * Maximum prefill work that may wait on a server. Further requests wait in their lanes, where a
 * later request with an earlier deadline can still be served first.
 */
export const MAX_BACKLOG_MS = 150;
/** Maximum number of waiting requests of a pool; beyond it one is refused per arrival. */
export const MAX_WAITING_REQUESTS = 512;
/** Maximum number of requests examined per lane in one scheduling round, which bounds its cost. */
export const MAX_SCANNED_PER_LANE = 16;
/** Wait, by lane, after which the first request of a lane is overdue and claims servers. */
export const OVERDUE_AFTER_MS = { short: Infinity, medium: 2_000, long: 4_000 } as const;
/** Maximum average utilisation, by short and medium prefills, of engines without long prompts. */
export const MAX_SHORT_UTILISATION = 0.6;
/** Time constant of the averages that determine the number of engines for long prompts. */
export const WORKLOAD_TIME_CONSTANT_MS = 30_000;
/** Multiple of the estimated time to first token above which a warm server is marked as cold. */
export const SLOW_FACTOR = 5;
/** Minimum excess over that estimate; smaller excesses may be due to timer noise. */
export const SLOW_EXCESS_MS = 1_000;
/** Duration of a quarantine. */
export const QUARANTINE_MS = 3_600_000;
/** Time after which a suspect without a further crash is removed. */
export const SUSPECT_TTL_MS = 600_000;
/** Number of quota shards. */
export const QUOTA_SHARDS = 32;
/** Time after which an idle quota slot is returned to the coordinator. */
export const QUOTA_IDLE_TIMEOUT_MS = 500;
/** Quota slots requested ahead of need, so that a busy workspace rarely waits. */
export const QUOTA_PREFETCH_SLOTS = 2;
/**
 * Pause of grants on a server after a connection to it broke. Within this time a load report
 * normally shows whether the server has crashed. If it has, a request granted before the report
 * would wrongly become a suspect.
 */
export const LOST_CONNECTION_PAUSE_MS = 2_000;
/**
 * Minimum share of an engine's time for a long prefill on it. Without it, engines that serve short
 * prompts first would never finish a long prompt under overload.
 */
export const MIN_LONG_TIME_SHARE = 0.5;
/**
 * Share of the time to its deadline that the estimated time to first token of a new request may
 * take. Estimates are off by some tenths, and a queue that is filled up to its deadlines misses
 * them.
 */
export const USABLE_DEADLINE_SHARE = 0.8;
