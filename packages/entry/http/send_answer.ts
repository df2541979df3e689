import type { ServerResponse } from "node:http";
import type { Answer, AnswerToken } from "@jaypass/routing";
import { createChatEncoder } from "./create_chat_encoder.ts";
import type { ChatUsage } from "./create_chat_encoder.ts";
import { describeError } from "./describe_error.ts";
import type { HttpContext } from "./http_context.ts";
import { sendJson } from "./send_json.ts";
import { writeWithBackpressure } from "./write_with_backpressure.ts";

/** An answer to be sent to a caller. */
export interface OutgoingAnswer {
  requestId: string;
  model: string;
  tokens: AsyncIterable<AnswerToken>;
  stream: boolean;
  includeUsage: boolean;
  /** The answer where this host ran it; gives the token counts. */
  answer?: Answer;
}

/**
 * Sends an answer, streamed or whole.
 *
 * The status line waits for the first token, so that a refusal before it has its own status. A
 * stream that fails later ends with an `error` event and never with `[DONE]`.
 *
 * @param res the response
 * @param outgoing tokens and their form
 * @param context the front's parts
 * @throws the router's error when nothing was sent yet
 */
export async function sendAnswer(
  res: ServerResponse,
  outgoing: OutgoingAnswer,
  context: HttpContext,
): Promise<void> {
  if (outgoing.stream) await sendStream(res, outgoing, context);
  else await sendWhole(res, outgoing, context);
}

async function sendStream(res: ServerResponse, outgoing: OutgoingAnswer, context: HttpContext) {
  const { requestId, model, tokens } = outgoing;
  const { stallTimeoutMs } = context.settings.limits;
  const encoder = createChatEncoder(requestId, { model, createdMs: context.clock.wallMs() });
  const writeHead = () => {
    if (res.headersSent) return;
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-request-id": requestId,
    });
  };
  let count = 0;
  try {
    for await (const token of tokens) {
      writeHead();
      count++;
      await writeWithBackpressure(res, encoder.token(token.index, token.text), stallTimeoutMs);
    }
    writeHead();
    res.end(encoder.end(outgoing.includeUsage ? usageOf(outgoing, count) : undefined));
  } catch (err) {
    if (!res.headersSent || res.destroyed) throw err;
    const { body } = describeError(err);
    context.metrics.increment("failure", { reason: body.error.reason });
    res.end(encoder.error(body));
  }
}

async function sendWhole(res: ServerResponse, outgoing: OutgoingAnswer, context: HttpContext) {
  const { requestId, model, tokens } = outgoing;
  const encoder = createChatEncoder(requestId, { model, createdMs: context.clock.wallMs() });
  const texts: string[] = [];
  for await (const token of tokens) texts.push(token.text);
  const body = encoder.response(texts.join(""), usageOf(outgoing, texts.length));
  sendJson(res, body, { headers: { "x-request-id": requestId } });
}

function usageOf({ answer }: OutgoingAnswer, sentTokens: number): ChatUsage {
  const promptTokens = answer?.promptTokens ?? 0;
  const completionTokens = answer?.tokens.length ?? sentTokens;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: answer?.cachedTokens ?? 0 },
  };
}
