import { validateHeaderName, validateHeaderValue } from "node:http";
import { FAILURE, ForwardingError } from "../errors.ts";
import type { ServerAnswer } from "../open_exchange.ts";
import type { HeaderList } from "../types.ts";
import { createUnreadAnswer } from "./create_unread_answer.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/**
 * The answer to a caller, which all attempts of its request share. Its head is sent at most once, so
 * that nothing of a second answer can follow a part of a first one.
 */
export interface CallerAnswer {
  /** Reports whether a head was sent. */
  hasBegun(): boolean;
  /**
   * Sends the head of an answer whose body follows in parts.
   *
   * @throws {ForwardingError} if a head was sent before, or this one cannot be sent
   */
  begin(answer: ServerAnswer): void;
  /**
   * Writes a part of the body, and waits while too many bytes are queued for a slow caller.
   *
   * @throws {ForwardingError} if the caller disconnects, the deadline passes or the caller reads nothing
   * for too long during the wait
   */
  write(bytes: Buffer): Promise<void>;
  /** Ends a body that was written in parts, so that the answer is complete. */
  end(): void;
  /**
   * Sends a whole answer.
   *
   * @throws {ForwardingError} if a head was sent before, or this one cannot be sent
   */
  send(answer: ServerAnswer, body: Buffer): void;
}

/**
 * Creates the answer to a caller.
 *
 * @param context services of the host
 * @param request the caller's request
 * @returns the answer, of which nothing is sent yet
 */
export function createCallerAnswer(
  context: ForwardingContext,
  request: CallerRequest,
): CallerAnswer {
  const { res, signal } = request;
  const { holder } = request;
  const unread = createUnreadAnswer(res, { holder, readsOn: context.readsAnswersOn === true });
  let hasBegun = false;

  const sendHead = (answer: ServerAnswer, length: number | undefined) => {
    if (hasBegun) throw new ForwardingError(502, FAILURE.INVALID_ANSWER);
    const headers = context.codec.writeCallerAnswer(answer.headers);
    assertValidHeaders(headers);
    if (length !== undefined) headers.push("Content-Length", String(length));
    if (request.shouldClose()) headers.push("Connection", "close");
    res.writeHead(answer.status, answer.statusText, headers);
    hasBegun = true;
  };

  return {
    hasBegun: () => hasBegun,
    begin: (answer) => sendHead(answer, undefined),
    async write(bytes) {
      res.write(bytes);
      unread.count();
      try {
        await unread.waitForRoom(signal);
      } catch (err) {
        throw new ForwardingError(504, FAILURE.DEADLINE, { cause: err });
      }
    },
    end() {
      res.end();
      unread.count();
    },
    send(answer, body) {
      sendHead(answer, body.length);
      res.end(body);
      unread.count();
    },
  };
}

/**
 * Checks the headers before any state of the answer changes: a head that Node.js rejects halfway would
 * spoil the failure that is sent in its place.
 */
function assertValidHeaders(headers: HeaderList): void {
  try {
    for (let at = 0; at + 1 < headers.length; at += 2) {
      validateHeaderName(headers[at] ?? "");
      validateHeaderValue(headers[at] ?? "", headers[at + 1] ?? "");
    }
  } catch (err) {
    throw new ForwardingError(502, FAILURE.INVALID_ANSWER, { cause: err });
  }
}
