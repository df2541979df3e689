import { isDeepStrictEqual } from "node:util";
import type { ConfigResponse, SectionChange } from "@jaypass/configuration";
import type { DocumentFile } from "./read_document_file.ts";

/**
 * Lists the entries of a file that differ from the document on which the file is based.
 *
 * @param file entries by section
 * @param base the document at the file's revision
 * @param options whether entries that the file does not contain are removed
 */
export function listFileChanges(
  file: DocumentFile,
  base: ConfigResponse["document"],
  options: { isReplacing: boolean },
): SectionChange[] {
  const known = base as unknown as Record<string, Record<string, unknown> | undefined>;
  return Object.entries(file.sections).map(([section, wanted]) => {
    const before = known[section] ?? {};
    const entries: Record<string, unknown> = {};
    for (const [name, entry] of Object.entries(wanted)) {
      if (!isDeepStrictEqual(entry, before[name])) entries[name] = entry;
    }
    if (options.isReplacing) {
      for (const name of Object.keys(before)) {
        if (!Object.hasOwn(wanted, name)) entries[name] = null;
      }
    }
    return { section: section as SectionChange["section"], entries };
  }).filter(({ entries }) => Object.keys(entries).length > 0);
}
