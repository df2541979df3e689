/**
 * Limits, timeouts and intervals of a forwarding host.
 *
 * @module
 */

import { FLEET_TICK_MS } from "@jaypass/fleet";

/** Time within which a hub must answer a placement; an unloaded round trip takes under 5 ms. */
export const PLACEMENT_TIMEOUT_MS = 60;

/**
 * Longest turn of the event loop after which the reports that have reached a hub count as read: hosts
 * do not turn to another hub in a shorter time.
 */
export const MAX_READ_TURN_MS = PLACEMENT_TIMEOUT_MS / 2;

/** Longest time that a prompt waits for a link to a hub that is being established. */
export const MAX_LINK_WAIT_MS = 150;

/** The same limit as a share of the prompt's first-byte goal. */
export const LINK_WAIT_GOAL_SHARE = 0.3;

/** Time for which callers may cache an answer of the directory. */
export const DIRECTORY_TTL_MS = 2_000;

/** Factor of the directory's time to live after which even slow callers have a newer answer. */
export const DIRECTORY_TTL_FACTOR = 3;

/** Largest number of addresses in an answer of the directory. */
export const MAX_DIRECTORY_ADDRESSES = 64;

/** Longest time from the moment at which a host leaves until the directories of all hosts omit it. */
export const LEAVE_PROPAGATION_MS = 2 * FLEET_TICK_MS;

/**
 * Share of the usual number of other hosts that must accept callers for a stopping host to leave its
 * callers to them. Below it, a refused caller more likely than not meets another stopping host.
 */
export const MIN_READY_SHARE = 0.5;

/**
 * Share of the usual number of other hosts below which a stopping host exits as soon as it can, so
 * that it is back before further hosts stop.
 */
export const FULL_STRENGTH_SHARE = 0.9;

/** Time after it has left for which a host may be named by valid answers of the directory. */
export const LISTED_MS = LEAVE_PROPAGATION_MS + DIRECTORY_TTL_MS;

/**
 * Time over which hosts that are told to stop at the same moment leave the directory. Much longer
 * than hosts need to learn that one has left.
 */
export const LEAVE_SPREAD_MS = 500;

/**
 * Time for which a stopping host counts the hosts that accepted callers, so that it sees that others
 * stop with it: longer than a stop.
 */
export const USUAL_HOSTS_WINDOW_MS = 15_000;

/** Time for which the number of hosts must be low before an idle host exits early. */
export const RECENT_HOSTS_WINDOW_MS = 1_000;

/** Interval at which a host counts the other hosts that accept callers, outside a stop. */
export const HOST_COUNT_INTERVAL_MS = FLEET_TICK_MS;

/** Time before the forced end of the process at which a stopping host exits by itself. */
export const STOP_MARGIN_MS = 500;

/** Time for which a stall of the process extends {@linkcode STOP_MARGIN_MS}: longer than a stop. */
export const STALL_WINDOW_MS = 15_000;

/** Largest part of the grace period that this time may take. */
export const STOP_MARGIN_MAX_SHARE = 1 / 8;

/** Part of the margin that is left for the end of the process once no connection is accepted. */
export const LAST_MARGIN_SHARE = 1 / 8;

/** Interval at which a host records that its event loop polls, half the error of the time of a signal. */
export const POLL_CHECK_MS = 50;

/**
 * Shortest time without a poll of the event loop that counts as a stall: it is logged, a hub does not know
 * what was placed meanwhile, and a signal that may have waited so long may be older than the settings.
 */
export const MIN_STALL_MS = 300;

/** Interval of the checks whether a stopping host can exit. */
export const STOP_CHECK_MS = 50;

/** Interval of the checks whether all callers have closed their connections to an exiting host. */
export const EXIT_CHECK_MS = 5;

/** Time for which an exiting host waits for callers to close their connections. */
export const EXIT_LINGER_MS = 200;

/** Time for which it waits for them at least, so that refusals leave the process before it ends. */
export const MIN_EXIT_LINGER_MS = 20;

/** Largest request line and headers that are read; callers observe the configured limit. */
export const MAX_HEADER_BYTES = 32_768;

/** Interval of the checks for header timeouts. */
export const CONNECTION_CHECK_MS = 1_000;

/** Time after which an engine releases reserved memory unless the reservation is renewed. */
export const RESERVATION_HOLD_MS = 3_000;

/** Interval of the renewals of a reservation. */
export const RESERVATION_RENEW_MS = 1_000;

/**
 * Time from a renewal that failed to the next one. A sound engine may be silent for 1.8 s from a renewal
 * on, after which the fourth one still arrives before the memory is free.
 */
export const RESERVATION_RETRY_MS = 620;

/** Interval of the checks for servers that are still missing after a store outage. */
export const MISSING_SERVER_CHECK_MS = FLEET_TICK_MS;

/** Log lines per second above which lines below warning level are dropped and counted. */
export const MAX_LOG_LINES_PER_S = 100;

/** The same limit for lines that are not to be lost among those of requests. */
export const MAX_ESSENTIAL_LOG_LINES_PER_S = 300;

/** Interval at which a hub probes the engines while some host has no link to it. */
export const HUB_PROBE_MS = 3 * FLEET_TICK_MS;

/** Time for which the results of a probe are reused by further placements. */
export const PROBE_CACHE_MS = 400;

/** Time that a placement waits for the load reports of the engines. */
export const PROBE_TIMEOUT_MS = 80;

/** Least time between two requests of a hub for the pace of an engine. */
export const PACE_PROBE_INTERVAL_MS = 1_000;

/** Least time between two log lines on a server that is slow or fails. */
export const DEGRADED_LOG_INTERVAL_MS = 1_000;

/** Time within which a silent server must answer a check. */
export const SERVER_CHECK_TIMEOUT_MS = 500;

/** Time for which the result of a check is shared by the requests that wait for the server. */
export const SERVER_CHECK_CACHE_MS = 800;

/** Largest number of engines that one probe asks. */
export const MAX_PROBED_ENGINES = 16;

/** Interval at which a hub reads the quarantines of the store, which only operators change. */
export const QUARANTINE_SYNC_MS = 10_000;

/** Delay until a hub tries again to synchronize the quarantines with the store. */
export const QUARANTINE_RETRY_MS = 5 * FLEET_TICK_MS;
