/**
 * Errors of the entry host.
 *
 * @module
 */

/** The settings or a file that they name cannot be read, or the settings are invalid. */
export class SettingsError extends Error {
  override name = "SettingsError";
}

/** A caller's request is refused before it reaches the router. */
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
