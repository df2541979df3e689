import { promisify } from "node:util";
import { gunzip, gzip } from "node:zlib";
import { SNAPSHOT_MAX_BYTES } from "../constants.ts";
import { ConfigurationError } from "../errors.ts";
import type { ConfigSnapshot } from "../types.ts";
import { snapshotSchema } from "./stored_schemas.ts";

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Encodes a snapshot as compressed JSON. */
export function encodeSnapshot(snapshot: Readonly<ConfigSnapshot>): Promise<Uint8Array> {
  return compress(Buffer.from(JSON.stringify(snapshot)));
}

/**
 * Decodes a snapshot.
 *
 * @throws {ConfigurationError} when the bytes are not a snapshot
 */
export async function decodeSnapshot(bytes: Uint8Array): Promise<ConfigSnapshot> {
  try {
    const text = await decompress(bytes, { maxOutputLength: 8 * SNAPSHOT_MAX_BYTES });
    return snapshotSchema.parse(JSON.parse(text.toString()));
  } catch (err) {
    throw new ConfigurationError("Snapshot cannot be decoded", { cause: err });
  }
}
