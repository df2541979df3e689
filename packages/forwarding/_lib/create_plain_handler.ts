import { JOB_OUTCOME } from "@jaypass/placement";
import { MAX_BUFFERED_ANSWER_BYTES } from "../constants.ts";
import { FAILURE } from "../errors.ts";
import type { ServerAnswer } from "../open_exchange.ts";
import { ROUTE_KIND } from "../types.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";
import type { AnswerHandler, AttemptResult, ReceivedAnswer } from "./attempt.ts";
import { sendHead, writeToCaller } from "./write_to_caller.ts";

/**
 * Creates the handler of answers that are not streams of events. An answer is buffered until it is
 * complete, so that the request can be retried if the answer is truncated; a large answer is passed
 * on as it arrives.
 *
 * @param context services of the host
 * @param request the caller's request
 * @returns the handler
 */
export function createPlainHandler(
  context: ForwardingContext,
  request: CallerRequest,
): AnswerHandler {
  const handle = async (received: ReceivedAnswer): Promise<AttemptResult> => {
    const { answer, metadata, onFirstByte } = received;
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (metadata.isEncoded || !metadata.isSealed) {
      return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.INVALID_ANSWER };
    }
    onFirstByte();
    const { chunks, isWhole, rest } = await bufferAnswer(answer);
    if (!isWhole) {
      await streamAnswer(context, request, answer, chunks, rest);
      return { outcome: JOB_OUTCOME.ANSWERED, isDone: true, failure: FAILURE.INTERNAL };
    }
    const deliver = () => {
      const body = Buffer.concat(chunks);
      sendHead(context, request, answer, body.length);
      request.res.end(body);
    };
    if (answer.status >= 500 && request.route.kind === ROUTE_KIND.IDEMPOTENT) {
      return {
        outcome: JOB_OUTCOME.FAILED,
        isDone: false,
        failure: FAILURE.SERVER_BROKE_OFF,
        deliver,
      };
    }
    deliver();
    const outcome = isSuccess ? JOB_OUTCOME.ANSWERED : JOB_OUTCOME.FAILED;
    return { outcome, isDone: true, failure: FAILURE.INTERNAL };
  };
  return { handle, resumeAfter: () => undefined };
}

/** Reads an answer up to the buffer limit; `isWhole` is false if more follows in `rest`. */
async function bufferAnswer(answer: ServerAnswer) {
  const chunks: Buffer[] = [];
  const rest = answer.body[Symbol.asyncIterator]();
  let length = 0;
  while (true) {
    const next = await rest.next();
    if (next.done) return { chunks, isWhole: true, rest };
    chunks.push(next.value);
    length += next.value.length;
    if (length > MAX_BUFFERED_ANSWER_BYTES) return { chunks, isWhole: false, rest };
  }
}

async function streamAnswer(
  context: ForwardingContext,
  request: CallerRequest,
  answer: ServerAnswer,
  chunks: Buffer[],
  rest: AsyncIterator<Buffer>,
): Promise<void> {
  sendHead(context, request, answer, undefined);
  for (const chunk of chunks) await writeToCaller(request, chunk);
  while (true) {
    const next = await rest.next();
    if (next.done) break;
    await writeToCaller(request, next.value);
  }
  request.res.end();
}
