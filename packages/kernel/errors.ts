/**
 * Errors of the kernel.
 *
 * @module
 */

/** A service is missing, declared twice, part of a cycle, not started, or failed to start. */
export class KernelError extends Error {
  override name = "KernelError";
}

/** Thrown when a signal or a deadline ends a wait. */
export class AbortedError extends Error {
  override name = "AbortedError";
}

/** Data from outside the process, or one of its fields, does not have the documented format. */
export class DecodeError extends Error {
  override name = "DecodeError";
}
