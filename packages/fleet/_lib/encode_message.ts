import { deflateRawSync, inflateRawSync } from "node:zlib";
import { LinkError } from "../errors.ts";

/** Characters from which a message is compressed; smaller ones gain less than the call costs. */
const PACK_MIN_LENGTH = 4_096;

/** Compression level: tables of JSON shrink to about a tenth, and higher levels take far longer. */
const PACK_LEVEL = 1;

/** Bytes that a compressed message may hold, against one that would fill the memory. */
const UNPACKED_MAX_BYTES = 64 * 1024 * 1024;

/** First character of a compressed message; JSON objects begin with a brace. */
const PACK_MARK = "~";

/**
 * Encodes a message as one line. A large one is compressed, since the configuration goes to every
 * host over the link of one.
 *
 * @param message a JSON value
 * @returns the line with its end
 *
 * @example
 * encodeMessage({ type: "ping" }); // '{"type":"ping"}\n'
 */
export function encodeMessage(message: unknown): string {
  const text = JSON.stringify(message);
  if (text.length < PACK_MIN_LENGTH) return `${text}\n`;
  return `${PACK_MARK}${deflateRawSync(text, { level: PACK_LEVEL }).toString("base64")}\n`;
}

/**
 * Decodes a line without its end.
 *
 * @param line a line of {@linkcode encodeMessage}
 * @returns the message
 * @throws {LinkError} when the line is no message
 *
 * @example
 * decodeMessage('{"type":"ping"}'); // { type: "ping" }
 */
export function decodeMessage<Message>(line: string): Message {
  try {
    if (!line.startsWith(PACK_MARK)) return JSON.parse(line) as Message;
    const packed = Buffer.from(line.slice(PACK_MARK.length), "base64");
    const text = inflateRawSync(packed, { maxOutputLength: UNPACKED_MAX_BYTES }).toString();
    return JSON.parse(text) as Message;
  } catch (err) {
    throw new LinkError("Line is no message", { cause: err });
  }
}
