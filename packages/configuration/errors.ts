/**
 * Errors of the configuration.
 *
 * @module
 */

/** A validation error of a document. */
export interface ConfigurationIssue {
  /** Path of the value, for example `backendServers.gent-1.warmLimit`. */
  path: string;
  message: string;
}

/** A document or change is not valid, or a revision cannot be read or reached. */
export class ConfigurationError extends Error {
  override name = "ConfigurationError";
  /** Validation errors of the document; empty when the error has another cause. */
  readonly issues: readonly ConfigurationIssue[];

  constructor(
    message: string,
    options: ErrorOptions & { issues?: readonly ConfigurationIssue[] } = {},
  ) {
    super(message, options);
    this.issues = options.issues ?? [];
  }
}
