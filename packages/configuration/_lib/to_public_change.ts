import type { ConfigChange, StoredChange } from "../types.ts";

/** Returns the fields of a stored change that the administration interface shows. */
export function toPublicChange(change: StoredChange): ConfigChange {
  const { revision, changeId, changes, who, why, whenMs } = change;
  return { revision, changeId, changes, who, why, whenMs };
}
