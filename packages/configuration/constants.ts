/**
 * Constants of the configuration, with their units in the names.
 *
 * @module
 */

/** Table that holds the head and the changes. */
export const CONFIG_TABLE = "config";

/** Key of the head row. */
export const HEAD_KEY = "head";

/** Time between two polls of the head; 340 hosts then cause 170 reads per second. */
export const POLL_INTERVAL_MS = 2_000;

/** Share of the poll interval by which it varies, so that hosts do not poll in step. */
export const POLL_JITTER_SHARE = 0.2;

/** Limit of one store read; together with the poll interval it stays well under 8 s. */
export const STORE_READ_TIMEOUT_MS = 1_500;

/** Limit of one object store call; snapshots are larger than rows. */
export const OBJECT_STORE_TIMEOUT_MS = 4_000;

/** Limit of one call to a peer. */
export const PEER_CALL_TIMEOUT_MS = 1_500;

/** Number of revisions behind from which a snapshot is loaded instead of single changes. */
export const SNAPSHOT_LOAD_THRESHOLD_REVISIONS = 100;

/** Number of revisions between snapshots. */
export const SNAPSHOT_INTERVAL_REVISIONS = 50;

/** Pause, in revisions, after a failed snapshot, so that an outage does not delay every change. */
export const SNAPSHOT_RETRY_INTERVAL_REVISIONS = 5;

/** Changes that stay readable as history; older ones are deleted. */
export const HISTORY_MAX_REVISIONS = 1_000;

/** Change rows that one read asks for. */
export const CHANGES_PER_READ = 50;

/** Recent changes that a host keeps to answer peers, by number and by size. */
export const RECENT_CHANGES_MAX_COUNT = 200;

/** Size limit of the recent changes; the control overhead of a host is at most 32 MB. */
export const RECENT_CHANGES_MAX_BYTES = 1_000_000;

/** Size of one message of a streamed snapshot. */
export const SNAPSHOT_CHUNK_BYTES = 131_072;

/** Largest accepted encoded snapshot; 6,400 workspaces take about 0.4 MB. */
export const SNAPSHOT_MAX_BYTES = 16_000_000;

/** Largest accepted size of one change; it fits into one row and one peer message. */
export const CHANGE_MAX_BYTES = 262_144;

/** Time that an administration request may take, with all retries. */
export const ADMINISTRATION_TIMEOUT_MS = 10_000;

/** Servers in one pool or partition (design, section 4.1). */
export const PARTITION_MAX_SERVERS = 16;
