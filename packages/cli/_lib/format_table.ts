/**
 * Formats rows as a text table with aligned columns.
 *
 * @param header column names
 * @param rows values of each row; `null` is shown as `-`
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly (string | number | null)[])[],
): string {
  const lines = [header, ...rows].map((row) => row.map((value) => String(value ?? "-")));
  const widths = header.map((_, column) => Math.max(...lines.map((line) => line[column]!.length)));
  return lines
    .map((line) => line.map((text, column) => text.padEnd(widths[column]!)).join("  ").trimEnd())
    .join("\n");
}
