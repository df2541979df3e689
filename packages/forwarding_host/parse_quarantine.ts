import { createFieldReader, DecodeError } from "@jaypass/kernel";
import type { Quarantine } from "@jaypass/placement";

const COUNT_RANGE = { min: 0, max: Number.MAX_SAFE_INTEGER };

/** Maximum number of content keys, above that of any prompt that fits into the headers. */
const MAX_KEYS = 4_096;

/** Longest content key, in characters. */
const MAX_KEY_LENGTH = 100;

/**
 * Parses a quarantine that another host or the store sent.
 *
 * @param value decoded JSON
 * @returns the quarantine
 * @throws {DecodeError} when a field is missing, has the wrong type or is out of its range
 *
 * @example
 * parseQuarantine({ keys: ["part:5c1e"], crashCount: 3, trialCount: 0, isReleased: false });
 */
export function parseQuarantine(value: unknown): Quarantine {
  const fields = createFieldReader(value);
  const keys = fields.strings("keys");
  // A quarantine without keys would hold for all requests.
  if (keys.length === 0 || keys.length > MAX_KEYS) {
    throw new DecodeError(`Quarantine has ${keys.length} keys`);
  }
  if (keys.some((key) => key.length === 0 || key.length > MAX_KEY_LENGTH)) {
    throw new DecodeError(`Key of a quarantine does not have 1 to ${MAX_KEY_LENGTH} characters`);
  }
  return {
    keys,
    crashCount: fields.integer("crashCount", COUNT_RANGE),
    trialCount: fields.integer("trialCount", COUNT_RANGE),
    isReleased: fields.boolean("isReleased"),
  };
}
