import { once } from "node:events";
import { CALLER_BUFFER_BYTES } from "../constants.ts";
import { FAILURE, ForwardingError } from "../errors.ts";
import type { ServerAnswer } from "../open_exchange.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/**
 * Sends the head of an answer to the caller.
 *
 * @param context services of the host
 * @param request the caller's request
 * @param answer the server's answer
 * @param length size of the body in bytes; undefined for chunked transfer encoding
 */
export function sendHead(
  context: ForwardingContext,
  request: CallerRequest,
  answer: ServerAnswer,
  length: number | undefined,
): void {
  const headers = context.codec.writeCallerAnswer(answer.headers);
  if (length !== undefined) headers.push("Content-Length", String(length));
  if (context.stop.signal.aborted) headers.push("Connection", "close");
  request.res.writeHead(answer.status, answer.statusText, headers);
}

/**
 * Writes a part of the body, and waits while too many bytes are queued for a slow caller.
 *
 * @param request the caller's request
 * @param bytes part of the body
 * @throws {ForwardingError} if the caller disconnects or the deadline passes during the wait
 */
export async function writeToCaller(request: CallerRequest, bytes: Buffer): Promise<void> {
  const { res, signal } = request;
  res.write(bytes);
  if (res.writableLength <= CALLER_BUFFER_BYTES) return;
  try {
    await once(res, "drain", { signal });
  } catch (err) {
    throw new ForwardingError(504, FAILURE.DEADLINE, { cause: err });
  }
}
