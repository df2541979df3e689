/** Key of a record; the parts are encoded, so that a slash in one cannot reach another record. */
export function recordKey(
  { workspace, service, key }: { workspace: string; service: string; key: string },
): string {
  return [workspace, service, key].map(encodeURIComponent).join("/");
}

/** The parts of a record's key. */
export function parseRecordKey(record: string): {
  workspace: string;
  service: string;
  key: string;
} {
  const [workspace = "", service = "", key = ""] = record.split("/").map(decodeURIComponent);
  return { workspace, service, key };
}
