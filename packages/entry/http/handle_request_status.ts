import type { IncomingMessage, ServerResponse } from "node:http";
import { FOLLOW_TIMEOUT_MS } from "@jaypass/routing";
import { BAD_REQUEST } from "../constants.ts";
import { BadRequestError } from "../errors.ts";
import { authenticateCaller } from "./authenticate_caller.ts";
import type { HttpContext } from "./http_context.ts";
import { createCloseSignal } from "./create_close_signal.ts";
import { sendAnswer } from "./send_answer.ts";

/**
 * Handles `GET /v1/requests/{id}?from=OFFSET`: the rest of an answer, from any host.
 *
 * @param req the caller's request; `accept: application/json` asks for the whole instead of a stream
 * @param res its response
 * @param context the front's parts, the request id and the query
 * @throws {BadRequestError | RequestError} when nothing was sent yet
 */
export async function handleRequestStatus(
  req: IncomingMessage,
  res: ServerResponse,
  context: HttpContext & { requestId: string; query: URLSearchParams },
): Promise<void> {
  const { requestId, query, configuration, router } = context;
  const caller = authenticateCaller(req, configuration.document());
  const from = Number(query.get("from") ?? 0);
  if (!Number.isInteger(from) || from < 0) {
    throw new BadRequestError(`Query "from" is "${query.get("from")}", expected a token offset`, {
      status: 400,
      reason: BAD_REQUEST.MALFORMED,
    });
  }
  const signal = createCloseSignal(res);
  const tokens = router.follow(requestId, { workspace: caller.workspace, from, signal });
  const stream = !(req.headers.accept ?? "").includes("application/json");
  const endTracking = context.drain.track(FOLLOW_TIMEOUT_MS);
  try {
    await sendAnswer(res, { requestId, model: "", tokens, stream, includeUsage: false }, context);
  } finally {
    endTracking();
  }
}
