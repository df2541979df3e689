import { decode, encode } from "@msgpack/msgpack";
import type { ZodType } from "zod";

/** Encodes a message; absent fields are left out. */
export function encodeMessage(message: unknown): Buffer {
  const bytes = encode(message, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Decodes and checks a message; throws when either fails. */
export function decodeMessage<T>(schema: ZodType<T>, body: Uint8Array): T {
  return schema.parse(decode(body));
}

/** Bodies are encoded and checked outside gRPC, so that it only passes bytes on. */
export function passBytes(body: Buffer): Buffer {
  return body;
}
