/**
 * Exit codes of the command line, documented in `docs/administration.md`.
 *
 * @module
 */

/** Exit code by result. */
export const EXIT_CODE = {
  OK: 0,
  FAILED: 1,
  USAGE: 2,
  /** Someone else changed the same entries. */
  CONFLICT: 3,
  /** The document or request is not valid. */
  NOT_VALID: 4,
  /** No entry host answered. */
  UNREACHABLE: 5,
  /** The token is missing, unknown or lacks the section. */
  NOT_ALLOWED: 6,
  /** The change may or may not be stored. */
  UNKNOWN: 7,
  /** The change is stored, but not all hosts have it within the waiting time. */
  WAIT_TIMEOUT: 8,
  NOT_FOUND: 9,
} as const;

/** A code of {@linkcode EXIT_CODE}. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE];
