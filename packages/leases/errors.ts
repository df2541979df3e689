/**
 * Errors of the leases.
 *
 * @module
 */

/** Thrown when a lease was created twice or a lease row could not be changed. */
export class LeaseError extends Error {
  override name = "LeaseError";
}
