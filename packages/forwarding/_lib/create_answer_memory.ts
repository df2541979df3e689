import {
  countHeaderBytes,
  HEADER_LINE_COST_BYTES,
  SMALL_HOLDER_BYTES,
} from "@jaypass/client_limits";
import type { ConnectionMemory, MemoryBudget } from "@jaypass/client_limits";
import { READ_ON_SHARE } from "../constants.ts";
import type { HeaderList } from "../types.ts";

/** Why an answer of a server was not held as usual. */
export const ANSWER_LIMIT = {
  /** Its head is large and did not fit, so that the answer counts as invalid. */
  HEAD: "answer_head",
  /** Its body did not fit, so that it is passed on before it is complete. */
  BODY: "answer_memory",
} as const;

/** One of {@linkcode ANSWER_LIMIT}. */
export type AnswerLimit = typeof ANSWER_LIMIT[keyof typeof ANSWER_LIMIT];

/** The memory of what servers answer to one request, until the request has ended. */
export interface AnswerMemory {
  /** Counts the head of an answer; returns false if it is a large one that does not fit. */
  tryReserveHead(headers: HeaderList): boolean;
  /** Memory for the body of an answer that is kept until it is complete. */
  body: MemoryBudget;
  /** Releases everything; nothing is counted any more. */
  close(): void;
}

/**
 * Creates the memory of the answers to a request, as a part of the memory of its caller's connection.
 *
 * Answers the load of servers that send much to many callers and do not end their answers. What is held
 * of an answer is not given up for other requests, since its request has run. A large body takes up to
 * half of what the account has free, so that other requests still find room; small ones are always held.
 *
 * @param holder memory of the connection; undefined if it is not counted
 * @param onLimit called when an answer does not fit
 * @returns the memory, of which nothing is in use
 *
 * @example
 * const memory = createAnswerMemory(holder, (reason) => limits.count(reason));
 * if (!memory.tryReserveHead(answer.headers)) exchange.cancel();
 */
export function createAnswerMemory(
  holder: ConnectionMemory | undefined,
  onLimit: (reason: AnswerLimit) => void,
): AnswerMemory {
  let headBytes = 0;
  let bodyBytes = 0;
  let isClosed = false;

  const releaseBody = (bytes: number) => {
    if (isClosed) return;
    bodyBytes -= bytes;
    holder?.pin(-bytes);
    holder?.release(bytes);
  };
  return {
    tryReserveHead(headers) {
      if (holder === undefined || isClosed) return true;
      const lines = headers.length / 2;
      const cost = countHeaderBytes({ rawHeaders: headers }) + lines * HEADER_LINE_COST_BYTES;
      if (cost <= SMALL_HOLDER_BYTES) {
        // Marked first, since counting may give up what is not marked.
        holder.pinHead(cost);
        holder.chargeHead(cost);
      } else if (holder.tryReserveHead(cost)) holder.pinHead(cost);
      else {
        onLimit(ANSWER_LIMIT.HEAD);
        return false;
      }
      headBytes += cost;
      return true;
    },
    body: {
      tryReserve(bytes) {
        if (holder === undefined || isClosed) return true;
        const isSmall = bodyBytes + bytes <= SMALL_HOLDER_BYTES;
        if (!isSmall && bytes > holder.freeBytes() * READ_ON_SHARE) {
          onLimit(ANSWER_LIMIT.BODY);
          return false;
        }
        holder.pin(bytes);
        holder.charge(bytes);
        bodyBytes += bytes;
        return true;
      },
      release: releaseBody,
    },
    close() {
      releaseBody(bodyBytes);
      holder?.pinHead(-headBytes);
      holder?.releaseHead(headBytes);
      isClosed = true;
    },
  };
}
