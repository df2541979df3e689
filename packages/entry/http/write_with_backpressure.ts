import type { ServerResponse } from "node:http";
import { AbortedError } from "@jaypass/kernel";

/**
 * Writes to a response. If its buffer is full, waits until the caller has read the buffered data.
 *
 * @param res the response
 * @param text text to write
 * @param stallTimeoutMs milliseconds after which a caller that does not read is disconnected, so
 *     that it cannot hold the memory of its request
 * @throws {AbortedError} if the caller has disconnected or has stopped reading
 *
 * @example
 * await writeWithBackpressure(res, encoder.token(0, "Hello"), 15_000);
 */
export async function writeWithBackpressure(
  res: ServerResponse,
  text: string,
  stallTimeoutMs: number,
): Promise<void> {
  if (res.destroyed) throw new AbortedError("Caller is gone");
  if (res.write(text)) return;
  const isDrained = await new Promise<boolean>((resolve) => {
    const settle = (drained: boolean) => {
      clearTimeout(timer);
      res.off("drain", onDrain);
      res.off("close", onClose);
      resolve(drained);
    };
    const onDrain = () => settle(true);
    const onClose = () => settle(false);
    const timer = setTimeout(() => settle(false), stallTimeoutMs);
    res.on("drain", onDrain);
    res.on("close", onClose);
  });
  if (isDrained) return;
  res.destroy();
  throw new AbortedError("Caller stopped reading");
}
