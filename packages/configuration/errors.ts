/**
 * Errors of the configuration.
 *
 * @module
 */

/** One fault of a document. */
export interface ConfigurationIssue {
  /** Path of the value, for example `backendServers.gent-1.warmLimit`. */
  path: string;
  message: string;
}

/** A document or change is refused, or a revision cannot be reached. */
export class ConfigurationError extends Error {
  override name = "ConfigurationError";
  /** Faults of the document; empty when the error has another cause. */
  readonly issues: readonly ConfigurationIssue[];

  constructor(
    message: string,
    options: ErrorOptions & { issues?: readonly ConfigurationIssue[] } = {},
  ) {
    super(message, options);
    this.issues = options.issues ?? [];
  }
}
