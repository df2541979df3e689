import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import {
  CALLER_BUFFER_BYTES,
  UNREAD_ANSWER_CHECK_MS,
  UNREAD_ANSWER_PATIENCE_MS,
} from "../constants.ts";
import type { MemoryHolder } from "./create_memory_account.ts";

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
   * Bytes up to which the answer is read on from its server although the caller does not read;
   * undefined if the server waits for the caller.
   */
  readOnBytes: number | undefined;
}

/**
 * Counts what an answer makes the host hold for a caller that reads slowly.
 *
 * Answers the load of slow readers on platforms whose servers cut off answers that are unread for some
 * seconds: the host reads on up to a bound. Beyond it a caller that reads nothing is cut off, so that
 * its server is free for others.
 *
 * @param res the answer
 * @param options memory account and bound
 * @returns the record
 *
 * @example
 * const unread = createUnreadAnswer(res, { holder, readOnBytes: 4_000_000 });
 */
export function createUnreadAnswer(
  res: ServerResponse,
  { holder, readOnBytes }: UnreadAnswerOptions,
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

  const waitForReader = async (bound: number, signal: AbortSignal) => {
    let leftBytes = res.writableLength;
    let idleMs = 0;
    while (res.writableLength > bound) {
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
      if (res.writableLength <= (readOnBytes ?? CALLER_BUFFER_BYTES)) return;
      if (readOnBytes === undefined) await once(res, "drain", { signal });
      else await waitForReader(readOnBytes, signal);
    },
  };
}
