import { JOB_OUTCOME } from "@jaypass/placement";
import { MAX_BUFFERED_ANSWER_BYTES } from "../constants.ts";
import { FAILURE } from "../errors.ts";
import type { ServerAnswer } from "../open_exchange.ts";
import { ROUTE_KIND } from "../types.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";
import type { AnswerHandler, AttemptResult, ReceivedAnswer } from "./attempt.ts";
import { sendHead, writeToCaller } from "./write_to_caller.ts";

/**
 * Creates the handler of answers that are no streams. An answer is held until it is whole, so that
 * one that breaks off may be asked for again; a large one is passed on as it comes.
 *
 * @param context the host
 * @param request the caller's request
 * @returns the handler
 */
export function createPlainHandler(
  context: ForwardingContext,
  request: CallerRequest,
): AnswerHandler {
  const use = async (inUse: ReceivedAnswer): Promise<AttemptResult> => {
    const { answer, metadata: facts, onFirstByte } = inUse;
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (facts.isEncoded || !facts.isSealed) {
      return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.INVALID_ANSWER };
    }
    onFirstByte();
    const { chunks, isWhole, rest } = await holdAnswer(answer);
    if (!isWhole) {
      await passOn(context, request, answer, chunks, rest);
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
  return { handle: use, resumeAfter: () => undefined };
}

/** Reads an answer up to the bound; `isWhole` is false when more follows in `rest`. */
async function holdAnswer(answer: ServerAnswer) {
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

async function passOn(
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
