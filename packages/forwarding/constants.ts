/**
 * Limits and timeouts of request forwarding.
 *
 * @module
 */

/** Time for which callers may keep idle connections while no configuration is known. */
export const DEFAULT_IDLE_TIMEOUT_MS = 5_000;

/** Time to connect to a server; a connection within a region takes under 3 ms. */
export const CONNECT_TIMEOUT_MS = 400;

/** Failed connects per request; they do not count as retries, since nothing was sent. */
export const MAX_CONNECT_FAILURES = 4;

/** Placements of one request that may be given up because a chosen server wants no requests. */
export const MAX_DIVERSIONS = 16;

/** Servers whose statements that they leave or pause are kept; limits the memory used. */
export const MAX_SERVER_NOTICES = 4_096;

/** Answers that are not streamed are buffered up to this size, so that they can be retried. */
export const MAX_BUFFERED_ANSWER_BYTES = 262_144;

/**
 * Largest excess of an answer's chunk framing over its body. Parsing a chunk of one byte takes as long
 * as parsing a large one, so that small chunks without end would keep the process from other requests.
 */
export const MAX_FRAMING_BYTES = 256 * 1024;

/**
 * Time after the end of an answer without a length within which the rest of its request must be written.
 * A server that reads on takes a body of the largest usual size in less.
 */
export const MAX_REQUEST_REST_MS = 1_000;

/** Informational answers (status 1xx) of one exchange after which the server counts as faulty. */
export const MAX_INFORMATIONAL_ANSWERS = 16;

/**
 * Statuses that guarantee a caller that its request has not run and will not run. A server's own
 * answer with one of them is not passed on unless it states that the request was not run.
 */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Longest event of a stream, and longest sequence of repeated events that is skipped. */
export const MAX_EVENT_BYTES = 262_144;

/** Time without data after which the rest of the body of a refused request is not read any more. */
export const UNREAD_BODY_IDLE_MS = 1_000;

/** Most bytes of the body of a refused request that are read, unless the configuration allows more. */
export const MAX_UNREAD_BODY_BYTES = 4 * 1024 * 1024;

/** Total size of the request bodies that a host buffers at a time. */
export const MAX_BUFFERED_BODY_BYTES = 48 * 1024 * 1024;

/** Shortest wait for the first byte before another server is tried, however little time is left. */
export const MIN_FIRST_BYTE_TIMEOUT_MS = 700;

/**
 * Part of the time until the deadline for which a silence is tolerated before the first byte; the
 * rest is left to another server.
 */
export const FIRST_BYTE_SILENCE_SHARE = 0.6;

/** Factor of the expected time to first byte in the first-byte timeout. */
export const FIRST_BYTE_EXPECTED_FACTOR = 2;

/** Factor of the route's latency target in the first-byte timeout; covers unknown queueing time. */
export const FIRST_BYTE_GOAL_FACTOR = 2;

/**
 * Silence after which another server gets the request as well. Sound servers may be silent for a second
 * or so, and callers abandon a stream after 2 s at the earliest, so that another server needs the rest.
 */
export const SILENCE_TOLERANCE_MS = 1_400;

/**
 * Most runs of one request at a time. A second one is started only beside a silent server, which may
 * still go on while the other server fails.
 */
export const MAX_CONCURRENT_RUNS = 2;

/** Share of runs that must be slower than the learned delay before it is used: at least one of them. */
export const MIN_SAMPLES_ABOVE_QUANTILE = 1;

/**
 * Time after which the values of a window begin to fade, and after which they are forgotten at the latest
 * if no new ones arrive. A host serves few requests of one kind a second, and a server that is slow for
 * some seconds must not change what is usual.
 */
export const LATENCY_WINDOW_MS = 60_000;

/** Longest latency that is distinguished; callers wait for less. */
export const MAX_LATENCY_MS = 60_000;

/** Routes and prompt sizes whose latency is known at a time; each takes about 12 KB. */
export const MAX_LATENCY_SERIES = 64;

/** Longest prompt of the first size class, in tokens; each further class ends at four times as many. */
export const FIRST_SIZE_CLASS_TOKENS = 4_096;

/** Hedges that a host may save up for a service, so that calm does not lead to many hedges at once. */
export const MAX_SAVED_HEDGES = 2;

/** Services whose hedges are counted at a time. */
export const MAX_HEDGED_SERVICES = 256;

/** Silence for which a request stays with a server that does not answer checks. */
export const UNREACHABLE_TOLERANCE_MS = 1_700;

/**
 * Time after the last sign of a server's process after which it is given up if it refuses connections:
 * much longer than a sound server is silent, since one that leaves still ends its answers. Memory that is
 * reserved for the request must be free 4 s after the end of the process, so that it is not longer.
 */
export const REFUSING_TOLERANCE_MS = 2 * SILENCE_TOLERANCE_MS;

/** Factor of the pause target after which a stream without a new chunk counts as interrupted. */
export const STALL_TIMEOUT_FACTOR = 5;

/** Silence of a server beyond the expected time after which its process is checked. */
export const SILENCE_SLACK_MS = 700;

/** Silences of one run that its trace keeps for the log. */
export const MAX_TRACED_SILENCES = 8;

/** Interval at which the silence of servers is looked at; a look costs no message. */
export const SILENCE_POLL_MS = 250;

/** Shortest time between two checks of a silent server for one request. */
export const SERVER_CHECK_PERIOD_MS = 1_000;

/** Unreachable checks in a row after which a repeatable request goes to another server. */
export const MAX_UNREACHABLE_CHECKS = 2;

/** Multiple of a caller's estimate that the length of its answer rarely exceeds. */
export const ANSWER_ESTIMATE_FACTOR = 3;

/** Time that must remain until the deadline for a retry at another server. */
export const MIN_RETRY_REMAINING_MS = 100;

/** Retry delay stated to a caller whose request the servers rejected. */
export const REJECTED_RETRY_AFTER_MS = 300;

/** Shortest time over which the retries of callers are spread after a pause of servers. */
export const MIN_PAUSE_RETRY_SPREAD_MS = 500;

/** The same time as a share of the rest of the pause. */
export const PAUSE_RETRY_SPREAD_SHARE = 0.5;

/** Retry delay stated to a caller while the host has no configuration. */
export const NO_CONFIGURATION_RETRY_AFTER_MS = 500;

/** Longest time for which a connection that was closed by the host waits for its caller to close it. */
export const CLOSE_LINGER_MS = 1_000;

/** Bytes that may be queued for a slow caller before reading from the server is paused. */
export const CALLER_BUFFER_BYTES = 262_144;

/** Urgency by prompt length, in ascending order of the longest prompt in tokens. */
export const URGENCY_STEPS: readonly { maxTokens: number; urgency: number }[] = [
  { maxTokens: 8_192, urgency: 2 },
  { maxTokens: 32_768, urgency: 3 },
  { maxTokens: 100_000, urgency: 5 },
  { maxTokens: Infinity, urgency: 6 },
];

/** Number of scheduling urgencies of engines, from the engine protocol. */
export const URGENCY_LEVELS = 10;

/**
 * Longest time of a route or a limit, a day. Timers run for multiples of such times, and a timer of
 * more than 2^31 - 1 ms fires at once.
 */
export const MAX_ROUTE_TIME_MS = 86_400_000;

/**
 * Time after the signal of a stop from which a host takes only prompts whose answers end well before
 * it does. A request that is taken so late and cut off by the end of the host counts as lost.
 */
export const LATE_IN_STOP_MS = 2_600;

/** Factor of the expected time of an answer then; answers take up to 1.7 times as long as expected. */
export const LATE_ANSWER_FACTOR = 1.7;

/** Longest silence of a sound server, which goes on after a second or so. */
export const LONGEST_SILENCE_MS = 1_800;

/** The silence after which another server is searched for a stream late in a stop. */
export const STOP_SILENCE_TOLERANCE_MS = 700;

/** Time that the placement of a request and its way to a server take. */
export const SEARCH_OVERHEAD_MS = 100;

/** Time that a stopping host leaves to an answer for a silence of its server, and for going on after it. */
export const STOP_SILENCE_MARGIN_MS = 2_000;

/**
 * Answers a request that crosses the close of its connection. The status states that no request was
 * run, and may be sent without one (RFC 9110, section 15.5.9).
 */
export const CLOSING_ANSWER =
  "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** Part of the free memory for callers up to which an answer is read on before its server waits. */
export const READ_ON_SHARE = 1 / 2;

/** Interval at which the progress of a slow caller is looked at. */
export const UNREAD_ANSWER_CHECK_MS = 50;

/**
 * Time without a read after which a caller is cut off whose answer is over the bound. Servers cut off an
 * answer that is unread for some seconds.
 */
export const UNREAD_ANSWER_PATIENCE_MS = 1_500;

/**
 * Parts of a prompt that a host looks at. It keeps them as long as the request, and compares them with
 * those of others after a crash: lists of 3,100 took 100 KB each, and 900 of them the heap.
 */
export const MAX_PROMPT_PARTS = 128;
