import { createFieldReader, DecodeError } from "@jaypass/kernel";
import { COLD_LEFT_RANGE_MS, SERVER_BORN_RANGE_MS, SERVER_SLOTS_RANGE } from "./constants.ts";
import { isAddress } from "./is_address.ts";
import { SERVER_STATE } from "./types.ts";
import type { ServerEntry, ServerState } from "./types.ts";

/** Requests name their server in a header, which cannot hold other characters. */
const SERVER_ID = /^[\x21-\x7e]{1,200}$/;

const STATES = new Set<string>(Object.values(SERVER_STATE));

/**
 * Parses the entry of a server, and ignores fields that are not part of it.
 *
 * @param value decoded JSON of the entry
 * @returns the entry
 * @throws {DecodeError} when a field is missing, has the wrong type or is out of its range
 *
 * @example
 * const entry = parseServerEntry(JSON.parse(row.value));
 */
export function parseServerEntry(value: unknown): ServerEntry {
  const fields = createFieldReader(value);
  const id = fields.string("id");
  if (!SERVER_ID.test(id)) throw new DecodeError("Server id cannot be sent in a header");
  const address = fields.string("address");
  if (!isAddress(address)) {
    throw new DecodeError(`Address "${address.slice(0, 60)}" is not IP:port`);
  }
  const state = fields.string("state");
  if (!STATES.has(state)) throw new DecodeError(`State "${state.slice(0, 60)}" is unknown`);
  return {
    id,
    service: fields.text("service"),
    address,
    dataCentre: fields.text("dataCentre"),
    slots: fields.integer("slots", SERVER_SLOTS_RANGE),
    state: state as ServerState,
    coldLeftMs: fields.number("coldLeftMs", COLD_LEFT_RANGE_MS),
    bornMs: fields.integer("bornMs", SERVER_BORN_RANGE_MS),
  };
}
