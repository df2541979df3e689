/**
 * Exit codes of the command line, documented in `docs/administration.md`.
 *
 * @module
 */

/** Exit codes by result. */
export const EXIT_CODE = {
  OK: 0,
  FAILED: 1,
  USAGE: 2,
  /** Another operator has changed the same entries. */
  CONFLICT: 3,
  /** The document or request is not valid. */
  NOT_VALID: 4,
  /** No entry host answered. */
  UNREACHABLE: 5,
  /** The token is missing, unknown or does not permit the request. */
  NOT_ALLOWED: 6,
  /** It is unknown whether the change was stored. */
  UNKNOWN: 7,
  /** The change is stored, but not all hosts applied it within the waiting time. */
  WAIT_TIMEOUT: 8,
  NOT_FOUND: 9,
} as const;

/** A code of {@linkcode EXIT_CODE}. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE];
