import { decode, encode } from "@msgpack/msgpack";
import type { ZodType } from "zod";

/** Encodes a message as MessagePack; undefined fields are omitted. */
export function encodeMessage(message: unknown): Buffer {
  const bytes = encode(message, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Decodes and validates a message; throws when either fails. */
export function decodeMessage<T>(schema: ZodType<T>, body: Uint8Array): T {
  return schema.parse(decode(body));
}

/** Identity serializer for gRPC, because bodies are encoded and validated outside the library. */
export function passBytes(body: Buffer): Buffer {
  return body;
}
