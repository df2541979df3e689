/**
 * Errors of the leases.
 *
 * @module
 */

/** A lease was declared twice or a row cannot be changed. */
export class LeaseError extends Error {
  override name = "LeaseError";
}
