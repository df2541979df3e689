import type { ConfigChange } from "@jaypass/configuration";

/** Number of entry names listed for each section; further ones are only counted. */
const MAX_NAMES = 8;

/** Formats a change as text: revision, time, operator, reason and changed entries. */
export function describeChange(change: ConfigChange): string {
  const { revision, whenMs, who, why, changes } = change;
  const entries = changes.map(({ section, entries }) => {
    const names = Object.entries(entries)
      .map(([name, entry]) => (entry === null ? `${name} (removed)` : name));
    const rest = names.length > MAX_NAMES ? ` and ${names.length - MAX_NAMES} more` : "";
    return `    ${section}: ${names.slice(0, MAX_NAMES).join(", ")}${rest}`;
  });
  const when = new Date(whenMs).toISOString();
  return [`  revision ${revision}  ${when}  ${who}  ${why}`, ...entries].join("\n");
}
