import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import type { MemoryHolder } from "@jaypass/client_limits";
import {
  CALLER_BUFFER_BYTES,
  READ_ON_SHARE,
  UNREAD_ANSWER_CHECK_MS,
  UNREAD_ANSWER_PATIENCE_MS,
} from "../constants.ts";

/** The part of an answer that is held for a caller that reads slowly. */
export interface UnreadAnswer {
  /** Counts what is held, after each write and at the end. */
  count(): void;
  /**
   * Waits while too much is held.
   *
   * @throws {Error} if the signal is aborted, or the caller reads nothing for too long
   */
  waitForRoom(signal: AbortSignal): Promise<void>;
}

/** Options of {@linkcode createUnreadAnswer}. */
export interface UnreadAnswerOptions {
  /** Memory of the connection; undefined if it is not counted. */
  holder: MemoryHolder | undefined;
  /**
   * True if the answer is read on from its server although the caller does not read, up to half of what
   * the account has left.
   */
  readsOn: boolean;
}

/**
 * Counts what an answer makes the host hold for a caller that reads slowly.
 *
 * Answers the load of slow readers on platforms whose servers cut off answers that are unread for some
 * seconds: the host reads on up to a bound. Beyond it a caller that reads nothing is cut off, so that
 * its server is free for others. The bound falls as the account fills, so that many slow readers get
 * equal parts and leave room for other requests.
 *
 * @param res the answer
 * @param options memory account and bound
 * @returns the record
 *
 * @example
 * const unread = createUnreadAnswer(res, { holder, readsOn: true });
 */
export function createUnreadAnswer(
  res: ServerResponse,
  { holder, readsOn }: UnreadAnswerOptions,
): UnreadAnswer {
  let countedBytes = 0;
  const countTo = (bytes: number) => {
    const change = bytes - countedBytes;
    countedBytes = bytes;
    if (change > 0) holder?.charge(change);
    else if (change < 0) holder?.release(-change);
  };
  const count = () => countTo(res.writableLength);
  if (holder !== undefined) {
    res.on("drain", count);
    res.once("close", () => countTo(0));
  }

  const isReadOn = readsOn && holder !== undefined;
  const findBound = () =>
    isReadOn
      ? Math.max(CALLER_BUFFER_BYTES, holder.freeBytes() * READ_ON_SHARE)
      : CALLER_BUFFER_BYTES;
  const waitForReader = async (signal: AbortSignal) => {
    let leftBytes = res.writableLength;
    let idleMs = 0;
    while (res.writableLength > findBound()) {
      await wait(UNREAD_ANSWER_CHECK_MS, undefined, { signal });
      idleMs = res.writableLength < leftBytes ? 0 : idleMs + UNREAD_ANSWER_CHECK_MS;
      leftBytes = res.writableLength;
      count();
      if (idleMs >= UNREAD_ANSWER_PATIENCE_MS) throw new Error("Caller does not read its answer");
    }
  };

  return {
    count: () => {
      if (holder !== undefined) count();
    },
    async waitForRoom(signal) {
      if (res.writableLength <= findBound()) return;
      if (isReadOn) await waitForReader(signal);
      else await once(res, "drain", { signal });
    },
  };
}
