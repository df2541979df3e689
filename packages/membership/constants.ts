/**
 * Constants of the membership.
 *
 * @module
 */

/** Time between heartbeats with a peer. */
export const HEARTBEAT_MS = 2_000;

/** Longest wait for the answer to a heartbeat. */
export const HEARTBEAT_TIMEOUT_MS = 2_000;

/** Wait before the next heartbeat after a failed one. */
export const HEARTBEAT_RETRY_MS = 1_000;

/** Silence after which a peer is probed through another one and may become suspect. */
export const SUSPECT_AFTER_MS = 6_000;

/** Time in which a suspect host can refute before it is marked dead. */
export const DEAD_AFTER_MS = 4_000;

/** Longest wait for an indirect probe, whose helper waits half of it. */
export const PROBE_TIMEOUT_MS = 2_000;

/** Helpers asked for one indirect probe. */
export const PROBE_HELPER_COUNT = 3;

/** Wait before a change is pushed, so that changes that arrive together share a message. */
export const PUSH_DELAY_MS = 20;

/**
 * Longest such wait, reached by doubling while pushes follow each other. Without it, 340 hosts that
 * started at once sent so many pushes that heartbeats timed out, whose suspicions were pushed again.
 */
export const PUSH_DELAY_MAX_MS = 400;

/** Time between checks of suspects, tombstones and the choice of peers. */
export const TICK_MS = 1_000;

/**
 * A tick that is late by more than this means that this process was paused; the silence of the
 * others in that time says nothing about them.
 */
export const PAUSE_THRESHOLD_MS = 3_000;

/** Time for which a dead host is remembered: twice the hour for which regions may part. */
export const TOMBSTONE_TTL_MS = 7_200_000;

/** Time between attempts to reach a host that is listed or remembered but not alive. */
export const REJOIN_INTERVAL_MS = 10_000;

/** The same while no other host is known to be alive. */
export const ISOLATED_REJOIN_INTERVAL_MS = 1_000;

/** First wait between readings of the host list; it doubles until `LIST_MAX_MS`. */
export const LIST_MIN_INTERVAL_MS = 2_000;

/** Longest wait between readings of the host list; at 340 hosts a reading is about 50 KB. */
export const LIST_MAX_INTERVAL_MS = 300_000;

/** Time after which the own entry is registered again when the list still lacks it. */
export const REGISTER_RETRY_MS = 120_000;

/** Longest wait for a call to the host list. */
export const LIST_TIMEOUT_MS = 5_000;

/** Heartbeats between comparisons of the whole views of two peers. */
export const HEARTBEATS_PER_CHECKSUM = 30;

/** Time for which a broadcast is passed on. */
export const BROADCAST_LIFETIME_MS = 60_000;

/** Broadcast ids remembered to drop duplicates. */
export const MAX_REMEMBERED_BROADCASTS = 4_096;

/** Validity of an address list at its callers. */
export const ADDRESS_TTL_MS = 15_000;

/**
 * Time by which other hosts have learnt that a host leaves and name it in no list: a push, or two
 * heartbeats when the push is lost.
 */
export const LEAVE_PROPAGATION_MS = 5_000;
