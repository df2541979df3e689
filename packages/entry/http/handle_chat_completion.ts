import type { IncomingMessage, ServerResponse } from "node:http";
import { createRequestId } from "@jaypass/routing";
import { BAD_REQUEST } from "../constants.ts";
import { BadRequestError } from "../errors.ts";
import { authenticateCaller } from "./authenticate_caller.ts";
import { createRequestDeadline } from "./create_request_deadline.ts";
import type { RequestContext } from "./http_context.ts";
import { createCloseSignal } from "./create_close_signal.ts";
import { parseChatRequest } from "./parse_chat_request.ts";
import { readCallerBody } from "./read_caller_body.ts";
import { sendAnswer } from "./send_answer.ts";
import { trackRequest } from "./track_request.ts";

/**
 * Handles `POST /v1/chat/completions`.
 *
 * @param req the caller's request
 * @param res its response
 * @param context shared services of the HTTP handlers
 * @throws {BadRequestError | RequestError} if the request fails before a response is sent
 */
export async function handleChatCompletion(
  req: IncomingMessage,
  res: ServerResponse,
  context: RequestContext,
): Promise<void> {
  const { configuration, membership, router } = context;
  const caller = authenticateCaller(req, configuration.document());
  const { deadline, firstTokenMs } = createRequestDeadline(req, context);
  const endTracking = trackRequest(context, deadline);
  let body;
  try {
    body = await readCallerBody(req, context);
    const chat = parseChatRequest(body.bytes);
    const isModelAllowed = Object.hasOwn(configuration.document().models, chat.model) &&
      caller.config.models.includes(chat.model);
    if (!isModelAllowed) throw unknownModel(chat.model);

    const requestId = createRequestId(membership.self().id, {
      workspace: caller.workspace,
      serves: chat.model,
    });
    const answer = router.complete({
      requestId,
      workspace: caller.workspace,
      model: chat.model,
      prompt: chat.prompt,
      maxTokens: chat.maxTokens,
      deadline,
      firstTokenMs,
    });
    const tokens = router.follow(requestId, {
      workspace: caller.workspace,
      from: 0,
      signal: createCloseSignal(res),
    });
    const { model, stream, includeUsage } = chat;
    await sendAnswer(res, { requestId, model, tokens, stream, includeUsage, answer }, context);
  } finally {
    body?.release();
    deadline.clear();
    endTracking();
  }
}

/** Creates the error both for a model that does not exist and for one the workspace may not use. */
function unknownModel(model: string): BadRequestError {
  return new BadRequestError(`Workspace has no model "${model}"`, {
    status: 404,
    reason: BAD_REQUEST.UNKNOWN_MODEL,
  });
}
