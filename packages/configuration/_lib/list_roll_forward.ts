import { isDeepStrictEqual } from "node:util";
import type { ConfigDocument, SectionChange, SectionName } from "../types.ts";

/**
 * Lists the changes that give sections of a document their content of an earlier one.
 *
 * @param document the document in force
 * @param earlier the document whose content is wanted
 * @param options sections to compare
 */
export function listRollForward(
  document: Readonly<ConfigDocument>,
  earlier: Readonly<ConfigDocument>,
  options: { sections: readonly SectionName[] },
): SectionChange[] {
  return options.sections.map((section) => {
    const now: Record<string, unknown> = document[section];
    const then: Record<string, unknown> = earlier[section];
    const entries: Record<string, unknown> = {};
    for (const name of new Set([...Object.keys(now), ...Object.keys(then)])) {
      if (!isDeepStrictEqual(now[name], then[name])) entries[name] = then[name] ?? null;
    }
    return { section, entries };
  }).filter(({ entries }) => Object.keys(entries).length > 0);
}
