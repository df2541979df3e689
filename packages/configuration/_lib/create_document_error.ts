import { ConfigurationError, type ConfigurationIssue } from "../errors.ts";

/** Largest number of issues in the message; the others are only counted. */
const MAX_LISTED_ISSUES = 5;

/**
 * Creates the error for an invalid document.
 *
 * @param issues the issues, at least one
 * @returns an error with all issues, of which the message lists the first
 */
export function createDocumentError(issues: readonly ConfigurationIssue[]): ConfigurationError {
  const listed = issues.slice(0, MAX_LISTED_ISSUES).map(({ path, message }) =>
    `"${path}": ${message}`
  );
  const rest = issues.length - listed.length;
  if (rest > 0) listed.push(`and ${rest} more`);
  return new ConfigurationError(`Configuration is not valid: ${listed.join("; ")}`, { issues });
}
