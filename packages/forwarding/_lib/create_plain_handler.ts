import { JOB_OUTCOME } from "@jaypass/placement";
import { MAX_BUFFERED_ANSWER_BYTES } from "../constants.ts";
import { FAILURE } from "../errors.ts";
import type { ServerAnswer } from "../open_exchange.ts";
import { ROUTE_KIND } from "../types.ts";
import { DROPPED } from "./attempt.ts";
import type { AnswerHandler, AttemptResult, ReceivedAnswer } from "./attempt.ts";
import { createCallerAnswer } from "./create_caller_answer.ts";
import type { CallerAnswer } from "./create_caller_answer.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/**
 * Creates the handler of answers that are not streams of events. An answer is buffered until it is
 * complete, so that the request can be retried if the answer is truncated; a large answer is passed
 * on as it arrives, and no other server is tried once its head is sent. Of two runs, the first one with
 * an answer that may be passed on answers the caller.
 *
 * @param context services of the host
 * @param request the caller's request
 * @returns the handler
 */
export function createPlainHandler(
  context: ForwardingContext,
  request: CallerRequest,
): AnswerHandler {
  const callerAnswer = createCallerAnswer(context, request);
  const handle = async (received: ReceivedAnswer): Promise<AttemptResult> => {
    const { answer, metadata, onChunk, run } = received;
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (metadata.isEncoded || !metadata.isSealed) {
      return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.INVALID_ANSWER };
    }
    onChunk();
    const body = reportChunks(answer.body, onChunk);
    const { chunks, isWhole } = await bufferAnswer(body);
    const isRepeatableFailure = answer.status >= 500 &&
      request.route.kind === ROUTE_KIND.IDEMPOTENT;
    if (!isWhole) {
      if (isRepeatableFailure && run.hasOther()) {
        return { outcome: JOB_OUTCOME.FAILED, isDone: false, failure: FAILURE.SERVER_BROKE_OFF };
      }
      if (!run.claim()) return DROPPED;
      await streamAnswer(callerAnswer, answer, chunks, body);
      return { outcome: JOB_OUTCOME.ANSWERED, isDone: true, failure: FAILURE.INTERNAL };
    }
    const deliver = () => callerAnswer.send(answer, Buffer.concat(chunks));
    if (isRepeatableFailure) {
      return {
        outcome: JOB_OUTCOME.FAILED,
        isDone: false,
        failure: FAILURE.SERVER_BROKE_OFF,
        deliver,
      };
    }
    if (!run.claim()) return DROPPED;
    deliver();
    const outcome = isSuccess ? JOB_OUTCOME.ANSWERED : JOB_OUTCOME.FAILED;
    return { outcome, isDone: true, failure: FAILURE.INTERNAL };
  };
  return {
    handle,
    resumeAfter: () => undefined,
    canContinue: () => !callerAnswer.hasBegun(),
  };
}

async function* reportChunks(body: AsyncIterable<Buffer>, onChunk: () => void) {
  for await (const chunk of body) {
    onChunk();
    yield chunk;
  }
}

/** Reads a body up to the buffer limit; `isWhole` is false if more follows. */
async function bufferAnswer(body: AsyncGenerator<Buffer>) {
  const chunks: Buffer[] = [];
  let length = 0;
  while (length <= MAX_BUFFERED_ANSWER_BYTES) {
    const next = await body.next();
    if (next.done) return { chunks, isWhole: true };
    chunks.push(next.value);
    length += next.value.length;
  }
  return { chunks, isWhole: false };
}

async function streamAnswer(
  callerAnswer: CallerAnswer,
  answer: ServerAnswer,
  chunks: Buffer[],
  rest: AsyncIterable<Buffer>,
): Promise<void> {
  callerAnswer.begin(answer);
  for (const chunk of chunks) await callerAnswer.write(chunk);
  for await (const chunk of rest) await callerAnswer.write(chunk);
  callerAnswer.end();
}
