import type { ConfigChange, StoredChange } from "../types.ts";

/** Returns the part of a stored change that people see. */
export function toPublicChange(change: StoredChange): ConfigChange {
  const { revision, changeId, changes, who, why, whenMs } = change;
  return { revision, changeId, changes, who, why, whenMs };
}
