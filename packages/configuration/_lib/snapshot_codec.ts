import { promisify } from "node:util";
import { gunzip, gzip } from "node:zlib";
import { SNAPSHOT_MAX_BYTES } from "../constants.ts";
import { ConfigurationError } from "../errors.ts";
import type { ConfigSnapshot } from "../types.ts";
import { snapshotSchema } from "./stored_schemas.ts";

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Encodes a snapshot as gzip-compressed JSON. */
export function encodeSnapshot(snapshot: Readonly<ConfigSnapshot>): Promise<Uint8Array> {
  return compress(Buffer.from(JSON.stringify(snapshot)));
}

/**
 * Decodes and validates a snapshot.
 *
 * @throws {ConfigurationError} when the bytes are not a valid snapshot
 */
export async function decodeSnapshot(bytes: Uint8Array): Promise<ConfigSnapshot> {
  try {
    const text = await decompress(bytes, { maxOutputLength: 8 * SNAPSHOT_MAX_BYTES });
    return snapshotSchema.parse(JSON.parse(text.toString()));
  } catch (err) {
    throw new ConfigurationError("Could not decode configuration snapshot", { cause: err });
  }
}
