/**
 * Errors of the fleet.
 *
 * @module
 */

/** A call to the store failed. */
export class StoreError extends Error {
  override name = "StoreError";
}

/** The store no longer has the changes after the requested revision. */
export class HistoryLostError extends StoreError {
  override name = "HistoryLostError";
}

/** A link to another host failed. */
export class LinkError extends Error {
  override name = "LinkError";
}
