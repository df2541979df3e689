import { isDeepStrictEqual } from "node:util";
import type { ConfigDocument, SectionChange, SectionName } from "../types.ts";

/**
 * Lists the changes that restore sections of a document to the content of an earlier one.
 *
 * @param document the current document
 * @param earlier the document whose content is restored
 * @param options sections to restore
 */
export function listRollForward(
  document: Readonly<ConfigDocument>,
  earlier: Readonly<ConfigDocument>,
  options: { sections: readonly SectionName[] },
): SectionChange[] {
  return options.sections.map((section) => {
    const current: Record<string, unknown> = document[section];
    const restored: Record<string, unknown> = earlier[section];
    const entries: Record<string, unknown> = {};
    for (const name of new Set([...Object.keys(current), ...Object.keys(restored)])) {
      if (!isDeepStrictEqual(current[name], restored[name])) entries[name] = restored[name] ?? null;
    }
    return { section, entries };
  }).filter(({ entries }) => Object.keys(entries).length > 0);
}
