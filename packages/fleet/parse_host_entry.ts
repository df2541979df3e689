import { createFieldReader, DecodeError } from "@jaypass/kernel";
import { HOST_WEIGHT_RANGE } from "./constants.ts";
import { isAddress } from "./is_address.ts";
import type { HostEntry } from "./types.ts";

/**
 * Parses the entry of a host, and ignores fields that are not part of it.
 *
 * @param value decoded JSON of the entry
 * @returns the entry
 * @throws {DecodeError} when a field is missing, has the wrong type or is out of its range
 *
 * @example
 * const entry = parseHostEntry(JSON.parse(row.value));
 */
export function parseHostEntry(value: unknown): HostEntry {
  const fields = createFieldReader(value);
  const linkAddress = fields.text("linkAddress");
  if (!isAddress(linkAddress)) {
    throw new DecodeError(`Link address "${linkAddress.slice(0, 60)}" is not IP:port`);
  }
  return {
    host: fields.text("host"),
    linkAddress,
    callerAddress: fields.text("callerAddress"),
    dataCentre: fields.text("dataCentre"),
    weight: fields.number("weight", HOST_WEIGHT_RANGE),
    incarnation: fields.text("incarnation"),
  };
}
