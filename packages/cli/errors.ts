/**
 * Errors of the command line.
 *
 * @module
 */
import type { ExitCode } from "./constants.ts";

/** Ends a command with a message and an exit code. */
export class CliError extends Error {
  override name = "CliError";
  readonly exitCode: ExitCode;
  /** JSON value printed instead of the message with `--json`. */
  readonly body: unknown;

  constructor(message: string, options: ErrorOptions & { exitCode: ExitCode; body?: unknown }) {
    super(message, options);
    this.exitCode = options.exitCode;
    this.body = options.body ?? { error: { reason: "cli", message } };
  }
}
