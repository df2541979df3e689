import type { z } from "zod";
import type { ConfigurationIssue } from "../errors.ts";

/** Keys whose name contains a unit; suggested for an unknown key that differs only in the unit. */
const KEYS_WITH_UNIT = [
  "timeoutMs",
  "firstTokenMs",
  "oneWayMs",
  "msPerOutputToken",
  "contextTokens",
  "memoryTokens",
  "prefillTokensPerSecond",
  "bytesPerToken",
];

const UNIT_SUFFIX =
  /(Ms|Millis|Milliseconds|S|Sec|Secs|Seconds|Min|Minutes|H|Hours|Bytes|Kb|Mb|Gb|GB|MB)$/;

/** Returns a key without its unit and in lower case. */
function removeUnit(key: string): string {
  return key.replace(UNIT_SUFFIX, "").replace(/Tokens$/, "").toLowerCase();
}

function suggestKey(key: string): string {
  const found = KEYS_WITH_UNIT.find((known) => removeUnit(known) === removeUnit(key));
  return found === undefined ? "" : `; the key with its unit is "${found}"`;
}

/**
 * Converts the issues of a schema check to one issue for each invalid path.
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
        message: `Unknown key "${key}"${suggestKey(key)}`,
      }));
    }
    if (issue.code === "invalid_key") {
      return [{ path: path.join("."), message: issue.issues[0]?.message ?? issue.message }];
    }
    return [{ path: path.join("."), message: issue.message }];
  });
}
