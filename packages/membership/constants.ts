/**
 * Constants of the membership.
 *
 * @module
 */

/** Interval of the heartbeats to a peer. */
export const HEARTBEAT_MS = 2_000;

/** Longest wait for the answer to a heartbeat. */
export const HEARTBEAT_TIMEOUT_MS = 2_000;

/** Wait before the next heartbeat after a failed one. */
export const HEARTBEAT_RETRY_MS = 1_000;

/** Silence after which a peer is probed through other hosts and may be marked as suspect. */
export const SUSPECT_AFTER_MS = 6_000;

/** Time that a suspect host has to refute the suspicion before it is marked as dead. */
export const DEAD_AFTER_MS = 4_000;

/** Longest wait for an indirect probe; the helper waits half of it for the target. */
export const PROBE_TIMEOUT_MS = 2_000;

/** Number of helpers asked for one indirect probe. */
export const PROBE_HELPER_COUNT = 3;

/** Wait before changes are pushed, so that changes that arrive together share a message. */
export const PUSH_DELAY_MS = 20;

/**
 * Longest wait before a push; the wait doubles up to it while pushes follow each other closely.
 *
 * Without the doubling, 340 hosts that started at once sent so many pushes that heartbeats timed
 * out, and the resulting suspicions caused further pushes.
 */
export const PUSH_DELAY_MAX_MS = 400;

/** Interval of the checks of suspects, tombstones and the choice of peers. */
export const TICK_MS = 1_000;

/**
 * Delay of a tick above which this process counts as having been paused. It could not receive
 * messages during the pause, so the silence of other hosts in that time is no sign of failure.
 */
export const PAUSE_THRESHOLD_MS = 3_000;

/**
 * Time for which a dead host is remembered: twice the hour for which regions may be partitioned.
 */
export const TOMBSTONE_TTL_MS = 7_200_000;

/** Interval of the attempts to reach a host that is listed or recorded as dead. */
export const REJOIN_INTERVAL_MS = 10_000;

/** The same interval while no other host is reachable. */
export const ISOLATED_REJOIN_INTERVAL_MS = 1_000;

/** First interval between two reads of the host list; it doubles up to `LIST_MAX_INTERVAL_MS`. */
export const LIST_MIN_INTERVAL_MS = 2_000;

/** Longest interval between two reads of the host list; at 340 hosts a read is about 50 KB. */
export const LIST_MAX_INTERVAL_MS = 300_000;

/** Time after which the own entry is registered again if the list still lacks it. */
export const REGISTER_RETRY_MS = 120_000;

/** Longest wait for a call to the host list. */
export const LIST_TIMEOUT_MS = 5_000;

/** Number of heartbeats to a peer of which one carries a checksum of the whole view. */
export const HEARTBEATS_PER_CHECKSUM = 30;

/** Time for which a host passes a broadcast on to its peers. */
export const BROADCAST_LIFETIME_MS = 60_000;

/** Number of broadcast ids remembered to drop duplicates. */
export const MAX_REMEMBERED_BROADCASTS = 4_096;

/** Time for which a caller may use a list of host addresses. */
export const ADDRESS_TTL_MS = 15_000;

/**
 * Time after which all other hosts know that a host is leaving and omit it from address lists. It
 * covers a push, and two heartbeats in case the push is lost.
 */
export const LEAVE_PROPAGATION_MS = 5_000;
