import { createBodyCollector } from "@jaypass/client_limits";
import type { MemoryBudget } from "@jaypass/client_limits";
import { JOB_OUTCOME } from "@jaypass/placement";
import { MAX_BUFFERED_ANSWER_BYTES } from "../constants.ts";
import { FAILURE } from "../errors.ts";
import { ROUTE_KIND } from "../types.ts";
import { DROPPED } from "./attempt.ts";
import type { AnswerHandler, AttemptResult, ReceivedAnswer } from "./attempt.ts";
import { createCallerAnswer } from "./create_caller_answer.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/**
 * Creates the handler of answers that are not streams of events. An answer is buffered until it is
 * complete, so that the request can be retried if the answer is truncated; a large answer is passed
 * on as it arrives, and no other server is tried once its head is sent; so is one for which the host has
 * no memory. Of two runs, the first one with an answer that may be passed on answers the caller.
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
    const { body: memory } = request.answerMemory;
    const { bytes, excess, isWhole } = await bufferAnswer(body, memory);
    const isRepeatableFailure = answer.status >= 500 &&
      request.route.kind === ROUTE_KIND.IDEMPOTENT;
    if (!isWhole) {
      if (isRepeatableFailure && run.hasOther()) {
        return { outcome: JOB_OUTCOME.FAILED, isDone: false, failure: FAILURE.SERVER_BROKE_OFF };
      }
      if (!run.claim()) return DROPPED;
      callerAnswer.begin(answer);
      const written = callerAnswer.write(bytes);
      // What the caller has not read of them is counted by the write.
      memory.release(bytes.length);
      await written;
      if (excess !== undefined) await callerAnswer.write(excess);
      for await (const chunk of body) await callerAnswer.write(chunk);
      callerAnswer.end();
      return { outcome: JOB_OUTCOME.ANSWERED, isDone: true, failure: FAILURE.INTERNAL };
    }
    const deliver = () => callerAnswer.send(answer, bytes);
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

/** The beginning of a body, or all of it. */
interface BufferedAnswer {
  /** Bytes that were read, whose memory stays reserved. */
  bytes: Buffer;
  /** Bytes behind them for which the host has no memory. */
  excess: Buffer | undefined;
  /** False if more follows. */
  isWhole: boolean;
}

/** Reads a body up to the buffer limit, or as far as the memory allows. */
async function bufferAnswer(
  body: AsyncGenerator<Buffer>,
  memory: MemoryBudget,
): Promise<BufferedAnswer> {
  const kept = createBodyCollector(memory);
  let excess: Buffer | undefined;
  try {
    while (excess === undefined && kept.length() <= MAX_BUFFERED_ANSWER_BYTES) {
      const next = await body.next();
      if (next.done) return { bytes: kept.finish(), excess, isWhole: true };
      if (!kept.tryAdd(next.value)) excess = next.value;
    }
  } catch (err) {
    kept.discard();
    throw err;
  }
  return { bytes: kept.finish(), excess, isWhole: false };
}
