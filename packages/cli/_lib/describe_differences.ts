import type { Difference } from "@jaypass/configuration";

/** Formats differences as text, with one line for each added, removed or changed value. */
export function describeDifferences(differences: readonly Difference[]): string {
  if (differences.length === 0) return "No differences";
  return differences.map(({ section, entry, path, before, after }) => {
    const at = [section, entry, path].filter((part) => part !== "").join(".");
    if (before === undefined) return `+ ${at}: ${JSON.stringify(after)}`;
    if (after === undefined) return `- ${at}: ${JSON.stringify(before)}`;
    return `~ ${at}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
  }).join("\n");
}
