import { createFieldReader, DecodeError } from "@jaypass/kernel";
import { parseConfigurationDocument } from "@jaypass/forwarding";
import type { OperatorEntry } from "./types.ts";

/**
 * Parses the content of a row of the operators' table.
 *
 * @param value decoded JSON of the row
 * @returns the entry
 * @throws {DecodeError} when the entry is not valid
 *
 * @example
 * parseOperatorEntry({ kind: "evacuation", dataCentre: "dc-a" });
 */
export function parseOperatorEntry(value: unknown): OperatorEntry {
  const fields = createFieldReader(value);
  const kind = fields.string("kind");
  if (kind === "evacuation") return { kind, dataCentre: fields.string("dataCentre") };
  if (kind !== "configuration") throw new DecodeError("Kind of the entry is unknown");
  return { kind, document: parseConfigurationDocument(fields.value("document")) };
}
