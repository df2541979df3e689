import type { ServerAnswer } from "../open_exchange.ts";
import type { AnswerMetadata } from "../types.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/**
 * Reads the metadata of an answer if the answer belongs to the request.
 *
 * An answer that names another attempt says nothing about this request, which may have run. One that
 * names no attempt belongs to the request, because its connection carries no other request and a
 * server may refuse a request before it has read the headers.
 *
 * @param context services of the host
 * @param request the caller's request
 * @param answer the head of the answer
 * @returns the metadata; undefined if the answer names another attempt
 */
export function readOwnAnswer(
  context: ForwardingContext,
  request: CallerRequest,
  answer: ServerAnswer,
): AnswerMetadata | undefined {
  const metadata = context.codec.readAnswer(answer.status, answer.headers);
  const { attemptId } = metadata;
  const isOwn = attemptId === undefined || attemptId === request.metadata.attemptId;
  return isOwn ? metadata : undefined;
}
