/**
 * Returns the key of a record; the parts are encoded, so that a slash in one causes no collision.
 */
export function recordKey(
  { workspace, service, key }: { workspace: string; service: string; key: string },
): string {
  return [workspace, service, key].map(encodeURIComponent).join("/");
}

/** Splits the key of a record into its parts. */
export function parseRecordKey(record: string): {
  workspace: string;
  service: string;
  key: string;
} {
  const [workspace = "", service = "", key = ""] = record.split("/").map(decodeURIComponent);
  return { workspace, service, key };
}
