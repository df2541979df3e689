import type { ServerResponse } from "node:http";

/**
 * Creates a signal that is aborted if the connection closes before the response has been sent.
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
