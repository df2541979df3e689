/**
 * Errors of the entry host.
 *
 * @module
 */

/** The settings file is missing or wrong. */
export class SettingsError extends Error {
  override name = "SettingsError";
}

/** A caller's request cannot be accepted as it is. */
export class BadRequestError extends Error {
  override name = "BadRequestError";
  readonly status: number;
  readonly reason: string;

  constructor(message: string, options: { status: number; reason: string; cause?: unknown }) {
    super(message, { cause: options.cause });
    this.status = options.status;
    this.reason = options.reason;
  }
}
