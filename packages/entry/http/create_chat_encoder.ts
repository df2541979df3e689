/** Encodes an answer in the published shape of the chat completions interface. */
export interface ChatEncoder {
  /** A server-sent event for one token; its id is the offset after the token. */
  token(index: number, text: string): string;
  /** The events that end a whole answer. */
  end(usage?: ChatUsage): string;
  /** The event that ends a failed answer, which is never followed by `[DONE]`. */
  error(body: unknown): string;
  /** The body of an answer that is not streamed. */
  response(text: string, usage: ChatUsage): unknown;
}

/** Token counts of an answer. */
export interface ChatUsage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: { cached_tokens: number };
}

/**
 * Creates the encoder of one answer.
 *
 * @param requestId id under which the caller can resume the stream
 * @param options model and wall time of the answer
 * @returns the encoder
 *
 * @example
 * const encoder = createChatEncoder(requestId, { model, createdMs: clock.wallMs() });
 * res.write(encoder.token(0, "Hello"));
 */
export function createChatEncoder(
  requestId: string,
  options: { model: string; createdMs: number },
): ChatEncoder {
  const base = {
    id: requestId,
    created: Math.floor(options.createdMs / 1_000),
    model: options.model,
  };
  const chunk = (choices: unknown[], more: object = {}) =>
    JSON.stringify({ ...base, object: "chat.completion.chunk", choices, ...more });
  return {
    token: (index, text) => {
      const delta = index === 0 ? { role: "assistant", content: text } : { content: text };
      const choice = { index: 0, delta, finish_reason: null };
      return `id: ${index + 1}\ndata: ${chunk([choice])}\n\n`;
    },
    end: (usage) => {
      const last = chunk([{ index: 0, delta: {}, finish_reason: "stop" }]);
      const counts = usage ? `data: ${chunk([], { usage })}\n\n` : "";
      return `data: ${last}\n\n${counts}data: [DONE]\n\n`;
    },
    error: (body) => `event: error\ndata: ${JSON.stringify(body)}\n\n`,
    response: (text, usage) => ({
      ...base,
      object: "chat.completion",
      choices: [{
        index: 0,
        message: { role: "assistant", content: text },
        finish_reason: "stop",
      }],
      usage,
    }),
  };
}
