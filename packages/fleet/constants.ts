/**
 * Intervals, timeouts and limits of the fleet.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import { TABLE } from "./types.ts";
import type { Table } from "./types.ts";

/**
 * How a table is polled: milliseconds that the store holds a poll open while nothing changes, and from
 * the end of one poll to the next one. The servers table is read often enough to learn of a draining
 * server within the drain bound. The others are read again almost at once, so that each of several
 * changes in a row is read promptly.
 */
export const TABLE_POLL: Readonly<Record<Table, { waitMs: Millis; delayMs: Millis }>> = {
  [TABLE.SERVERS]: { waitMs: 200, delayMs: 600 },
  [TABLE.OPERATORS]: { waitMs: 1_000, delayMs: 50 },
  [TABLE.HOSTS]: { waitMs: 2_000, delayMs: 50 },
};

/** Milliseconds beyond the interval of its polls after which a copy of a table is stale. */
export const STALE_SLACK_MS = 500;

/** Milliseconds after which a store call times out, in addition to its long-poll time. */
export const STORE_TIMEOUT_MS = 800;

/** Delay in milliseconds before a failed store call is retried, doubled with each failure. */
export const STORE_RETRY_MS = { min: 150, max: 1_000 } as const;

/** Milliseconds after the start in which all hosts with a row count as live if no hub tells. */
export const HOST_ROW_TRUST_MS = 2_600;

/**
 * Hosts that start to read the store as soon as no hub reaches it. One host with a path to the store
 * is enough; when a third of the hosts are cut off, all eight are cut off with a probability of
 * 1 in 7,000.
 */
export const FALLBACK_FOLLOWER_COUNT = 8;

/**
 * Milliseconds from the age at which a table is stale until the remaining hosts start to read it, one
 * after another. By then a store call of the first followers has been answered or has timed out.
 */
export const FALLBACK_DELAY_MS = 1_500;

/**
 * Milliseconds between the starts of two remaining hosts, which limits the number of calls during an
 * outage.
 */
export const FALLBACK_STAGGER_MS = 100;

/**
 * Milliseconds between two wake-ups for periodic work of the fleet. The intervals below are multiples
 * of it.
 */
export const FLEET_TICK_MS = 300;

/** Milliseconds between two view messages of a hub, and between two pings of a member. */
export const VIEW_INTERVAL_MS = FLEET_TICK_MS;

/** Milliseconds without a received message after which a link is closed. */
export const LINK_IDLE_TIMEOUT_MS = 1_000;

/** Milliseconds to establish a link. */
export const LINK_CONNECT_TIMEOUT_MS = 400;

/** Milliseconds from a connect to the first view of a hub whose last link has failed. */
export const RECONNECT_VIEW_TIMEOUT_MS = LINK_CONNECT_TIMEOUT_MS;

/** Milliseconds for which a host that could not be reached is not selected as a hub again. */
export const HUB_RETRY_DELAY_MS = 2_000;

/**
 * Milliseconds from a change of the known hosts to the review of the hubs, so that the rows of hosts
 * that start together cause one review.
 */
export const HUB_REVIEW_DELAY_MS = 50;

/** Milliseconds between two reviews of the hubs without a change or a failed link. */
export const HUB_SELECTION_INTERVAL_MS = FLEET_TICK_MS;

/** Hubs of a host: the primary, which places its jobs, and a standby. */
export const HUB_COUNT = 2;

/** Milliseconds between two invitations of a hub to a host that has a row but no link. */
export const INVITE_INTERVAL_MS = 3 * FLEET_TICK_MS;

/** Milliseconds without a link after which a hub removes a host's row. */
export const HOST_ROW_EXPIRY_MS = 30_000;

/** Milliseconds after the recovery of the store within which a missing server may reappear. */
export const STORE_RECOVERY_GRACE_MS = 2_200;

/**
 * Transactions of the store that fit in an era, in a revision. Their number may also be a time in
 * milliseconds.
 */
export const TRANSACTIONS_PER_ERA = 2 ** 42;

/** Number of eras of the store after which revisions begin anew. */
export const STORE_ERA_COUNT = 2 ** 11;

/** Milliseconds of failed calls from which a failure of the store counts as an outage. */
export const OUTAGE_MIN_MS = 800;

/**
 * Longest line that is read from a link. The longest regular one has the rows of a whole table, which
 * the sender compresses.
 */
export const LINK_MAX_LINE_CHARACTERS = 4 * 1024 * 1024;

/**
 * Characters of lines that have not ended, over all links that other hosts have opened; the link with
 * the longest one is closed beyond them.
 */
export const LINKS_MAX_HELD_CHARACTERS = 8 * 1024 * 1024;

/** Bytes that may be buffered on a link before it is closed because its peer reads too slowly. */
export const LINK_MAX_BUFFER_BYTES = 4 * 1024 * 1024;

/** Range of the number of requests that a server runs at once. */
export const SERVER_SLOTS_RANGE = { min: 1, max: 100_000 } as const;

/** Range of the milliseconds for which a server states that it stays cold; the maximum is a day. */
export const COLD_LEFT_RANGE_MS = { min: 0, max: 86_400_000 } as const;

/** Range of a server's start time in Unix milliseconds, up to the last time that a `Date` holds. */
export const SERVER_BORN_RANGE_MS = { min: 0, max: 8_640_000_000_000_000 } as const;

/** Range of a host's weight, which is its share of processors. */
export const HOST_WEIGHT_RANGE = { min: 0, max: 1_000_000 } as const;

/** Largest age in a message, which stands for an event that never happened. */
export const MAX_AGE_MS = Number.MAX_SAFE_INTEGER;
