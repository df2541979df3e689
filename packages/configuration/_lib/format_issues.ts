import type { z } from "zod";
import type { ConfigurationIssue } from "../errors.ts";

/** Keys with a unit, which the message suggests when the stem matches but the unit does not. */
const UNIT_KEYS = [
  "timeoutMs",
  "firstTokenMs",
  "oneWayMs",
  "msPerOutputToken",
  "contextTokens",
  "memoryTokens",
  "prefillTokensPerSecond",
  "bytesPerToken",
];

const UNITS =
  /(Ms|Millis|Milliseconds|S|Sec|Secs|Seconds|Min|Minutes|H|Hours|Bytes|Kb|Mb|Gb|GB|MB)$/;

function stemOf(key: string): string {
  return key.replace(UNITS, "").replace(/Tokens$/, "").toLowerCase();
}

function suggestionFor(key: string): string {
  const found = UNIT_KEYS.find((known) => stemOf(known) === stemOf(key));
  return found === undefined ? "" : `; the key with its unit is "${found}"`;
}

/**
 * Turns schema issues into one issue per faulty path.
 *
 * @param issues issues of a schema check
 * @param prefix path of the checked value in the document
 * @returns issues whose paths start at the document's root
 */
export function formatIssues(
  issues: readonly z.core.$ZodIssue[],
  prefix: readonly PropertyKey[] = [],
): ConfigurationIssue[] {
  return issues.flatMap((issue) => {
    const path = [...prefix, ...issue.path].map(String);
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) => ({
        path: [...path, key].join("."),
        message: `Unknown key "${key}"${suggestionFor(key)}`,
      }));
    }
    if (issue.code === "invalid_key") {
      return [{ path: path.join("."), message: issue.issues[0]?.message ?? issue.message }];
    }
    return [{ path: path.join("."), message: issue.message }];
  });
}
