import { z } from "zod";
import { BAD_REQUEST } from "../constants.ts";
import { BadRequestError } from "../errors.ts";

const textPart = z.object({ type: z.literal("text"), text: z.string() });

const chatSchema = z.object({
  model: z.string().min(1),
  messages: z.array(z.object({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.union([z.string(), z.array(textPart)]),
  })).min(1),
  max_tokens: z.number().int().min(1).optional(),
  max_completion_tokens: z.number().int().min(1).optional(),
  stream: z.boolean().optional(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).optional(),
});

/** Maximum number of tokens of an answer if the request sets none. */
const DEFAULT_MAX_TOKENS = 256;

/** A parsed chat completion request. */
export interface ChatRequest {
  model: string;
  prompt: string;
  maxTokens: number;
  stream: boolean;
  includeUsage: boolean;
}

/**
 * Parses the body of a chat completion request.
 *
 * @param bytes JSON in the published format of the chat completions API
 * @returns model, prompt text and options
 * @throws {BadRequestError} naming the path of each invalid value
 *
 * @example
 * const chat = parseChatRequest(body.bytes);
 */
export function parseChatRequest(bytes: Buffer): ChatRequest {
  const parsed = chatSchema.safeParse(parseJson(bytes));
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) =>
      `"${issue.path.join(".")}": ${issue.message}`
    );
    throw malformed(`Body is not a chat completion request: ${issues.join("; ")}`);
  }
  const { model, messages, stream, stream_options, ...limits } = parsed.data;
  return {
    model,
    prompt: messages.map((message) => `${message.role}: ${textOf(message.content)}\n`).join(""),
    maxTokens: limits.max_completion_tokens ?? limits.max_tokens ?? DEFAULT_MAX_TOKENS,
    stream: stream ?? false,
    includeUsage: stream_options?.include_usage ?? false,
  };
}

function textOf(content: string | { text: string }[]): string {
  return typeof content === "string" ? content : content.map((part) => part.text).join("");
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString("utf8"));
  } catch (err) {
    throw malformed("Body is not JSON", err);
  }
}

function malformed(message: string, cause?: unknown): BadRequestError {
  return new BadRequestError(message, { status: 400, reason: BAD_REQUEST.MALFORMED, cause });
}
