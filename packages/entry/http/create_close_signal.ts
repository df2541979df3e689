import type { ServerResponse } from "node:http";

/**
 * Returns a signal that aborts when a response's connection closes before the response has ended.
 *
 * @param res the response
 */
export function createCloseSignal(res: ServerResponse): AbortSignal {
  const controller = new AbortController();
  res.on("close", () => {
    if (!res.writableFinished) controller.abort(new Error("Caller closed the connection"));
  });
  return controller.signal;
}
