/**
 * Limits, timeouts and store keys of the configuration.
 *
 * @module
 */

/** Store table that holds the head row and the change rows. */
export const CONFIG_TABLE = "config";

/** Key of the head row, which names the latest revision and snapshot. */
export const HEAD_KEY = "head";

/** Time between two polls of the head row; 340 hosts then cause 170 reads per second. */
export const POLL_INTERVAL_MS = 2_000;

/** Share of the poll interval by which each pause varies, so that hosts do not poll in step. */
export const POLL_JITTER_SHARE = 0.2;

/**
 * Timeout of one store read.
 *
 * Together with the poll interval it stays well under 8 s, in which a change must reach all hosts.
 */
export const STORE_READ_TIMEOUT_MS = 1_500;

/** Timeout of one object store call; longer than that of a read because snapshots are larger. */
export const OBJECT_STORE_TIMEOUT_MS = 4_000;

/** Timeout of one call to a peer. */
export const PEER_CALL_TIMEOUT_MS = 1_500;

/** A host that is more revisions behind than this loads a snapshot instead of single changes. */
export const SNAPSHOT_LOAD_THRESHOLD_REVISIONS = 100;

/** Number of revisions between two stored snapshots. */
export const SNAPSHOT_INTERVAL_REVISIONS = 50;

/**
 * Number of revisions after which a failed snapshot is retried, so that an outage of the object
 * store does not delay every change.
 */
export const SNAPSHOT_RETRY_INTERVAL_REVISIONS = 5;

/** Number of changes that remain readable as history; older ones are deleted. */
export const HISTORY_MAX_REVISIONS = 1_000;

/** Largest number of change rows in one store read. */
export const CHANGES_PER_READ = 50;

/** Largest number of recent changes that a host keeps in memory to answer its peers. */
export const RECENT_CHANGES_MAX_COUNT = 200;

/**
 * Largest total size of the recent changes in memory.
 *
 * The memory that a host uses for control data is limited to 32 MB.
 */
export const RECENT_CHANGES_MAX_BYTES = 1_000_000;

/** Largest size of one message of a streamed snapshot. */
export const SNAPSHOT_CHUNK_BYTES = 131_072;

/** Largest accepted encoded snapshot; 6,400 workspaces take about 0.4 MB. */
export const SNAPSHOT_MAX_BYTES = 16_000_000;

/** Largest accepted size of one change, so that it fits into one row and one peer message. */
export const CHANGE_MAX_BYTES = 262_144;

/** Timeout of an administration request, including all retries. */
export const ADMINISTRATION_TIMEOUT_MS = 10_000;

/** Largest number of backend servers in one pool or partition (design, section 4.1). */
export const PARTITION_MAX_SERVERS = 16;
