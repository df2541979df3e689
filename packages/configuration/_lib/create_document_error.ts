import { ConfigurationError, type ConfigurationIssue } from "../errors.ts";

/** Issues that the message of an error lists; the rest is only counted. */
const MESSAGE_ISSUES = 5;

/**
 * Creates the error for a faulty document.
 *
 * @param issues the faults, at least one
 * @returns an error whose message names the first paths
 */
export function createDocumentError(issues: readonly ConfigurationIssue[]): ConfigurationError {
  const listed = issues.slice(0, MESSAGE_ISSUES).map(({ path, message }) =>
    `"${path}": ${message}`
  );
  const rest = issues.length - listed.length;
  if (rest > 0) listed.push(`and ${rest} more`);
  return new ConfigurationError(`Configuration is not valid: ${listed.join("; ")}`, { issues });
}
