import { isDeepStrictEqual } from "node:util";
import type { Difference } from "../operator_api.ts";
import type { ConfigDocument, SectionChange } from "../types.ts";

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function* compare(before: unknown, after: unknown, path: string[]): Generator<
  Pick<Difference, "path" | "before" | "after">
> {
  if (isDeepStrictEqual(before, after)) return;
  if (!isObject(before) || !isObject(after)) {
    yield {
      path: path.join("."),
      ...(before !== undefined && { before }),
      ...(after !== undefined && { after }),
    };
    return;
  }
  for (const key of [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()) {
    yield* compare(before[key], after[key], [...path, key]);
  }
}

/**
 * Lists the values that changes add, remove or replace, in the order of the changes.
 *
 * @param document the document before the changes
 * @param changes entries by section; `null` removes an entry
 * @returns one difference for each value; empty when nothing changes
 */
export function listDifferences(
  document: Readonly<ConfigDocument>,
  changes: readonly SectionChange[],
): Difference[] {
  return changes.flatMap(({ section, entries }) =>
    Object.keys(entries).sort().flatMap((entry) => {
      const currentEntries: Record<string, unknown> = document[section];
      const before = Object.hasOwn(currentEntries, entry) ? currentEntries[entry] : undefined;
      return [...compare(before, entries[entry] ?? undefined, [])]
        .map((difference) => ({ section, entry, ...difference }));
    })
  );
}
