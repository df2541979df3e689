import type { Socket } from "node:net";
import { runAfterRead } from "@jaypass/kernel";
import type { Millis } from "@jaypass/kernel";
import { detectReset } from "./detect_reset.ts";

/** Options of {@linkcode checkAnswerEnd}. */
export interface AnswerEndOptions {
  /** True if the whole request had been written when the server ended its side of the connection. */
  isRequestWritten: boolean;
  /** Time after that end within which the rest of the request must be written, in milliseconds. */
  limitMs: Millis;
}

/**
 * Decides whether a server that ended its side of the connection has sent its whole answer, where
 * nothing but that end marks the end of the answer.
 *
 * A server may end its answer before it has read the request. If it reads on, the answer is whole. If it
 * closed its connection, the bytes that arrive afterwards are answered with a reset, which alone shows
 * that the answer was cut. A server that does neither within the limit counts as one that cut it.
 *
 * @param socket connection of a client, in its first `end` listener, while it can still be written
 * @param options state of the request, and the limit
 * @returns undefined if the answer is whole, else the reason why it is not
 *
 * @example
 * const err = await checkAnswerEnd(socket, { isRequestWritten: false, limitMs: 1_000 });
 */
export async function checkAnswerEnd(
  socket: Pick<Socket, "write">,
  { isRequestWritten, limitMs }: AnswerEndOptions,
): Promise<Error | undefined> {
  // The empty line is written after the rest of the request, so that it fails if a reset arrives before.
  const reset = detectReset(socket);
  if (isRequestWritten) return await reset;
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<Error>((resolve) => {
    const onTimeout = () =>
      resolve(new Error("Server ended its answer and did not read the request"));
    timer = setTimeout(() => runAfterRead(onTimeout), limitMs);
  });
  try {
    return await Promise.race([reset, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
