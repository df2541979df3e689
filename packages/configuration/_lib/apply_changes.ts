import type { ConfigDocument, SectionChange } from "../types.ts";

/**
 * Returns a copy of a document with entries set or removed; unchanged sections are not copied.
 *
 * @param document the document to change
 * @param changes entries by section; `null` removes an entry
 */
export function applyChanges(
  document: Readonly<ConfigDocument>,
  changes: readonly SectionChange[],
): ConfigDocument {
  const next: Record<string, Record<string, unknown>> = { ...document };
  for (const { section, entries } of changes) {
    const merged = { ...next[section], ...entries };
    for (const [name, entry] of Object.entries(entries)) {
      if (entry === null) delete merged[name];
    }
    next[section] = merged;
  }
  return next as unknown as ConfigDocument;
}
