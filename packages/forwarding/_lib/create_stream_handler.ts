import { JOB_OUTCOME } from "@jaypass/placement";
import { STALL_TIMEOUT_FACTOR } from "../constants.ts";
import { createEventSplitter } from "../create_event_splitter.ts";
import { FAILURE } from "../errors.ts";
import type { ServerAnswer } from "../open_exchange.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";
import type { AnswerHandler, AttemptResult, ReceivedAnswer } from "./attempt.ts";
import { sendHead, writeToCaller } from "./write_to_caller.ts";

/**
 * Creates the handler of event streams.
 *
 * Only whole events are passed on, so that a stream that breaks off can go on at another server
 * after the last event that the caller has. A stream that cannot go on is broken off, never ended.
 *
 * @param context the host
 * @param request the caller's request
 * @returns the handler
 */
export function createStreamHandler(
  context: ForwardingContext,
  request: CallerRequest,
): AnswerHandler {
  const { route } = request;
  let lastEventId: number | undefined;
  let hasBegun = false;

  const use = async (inUse: ReceivedAnswer): Promise<AttemptResult> => {
    const { answer, metadata: facts, exchange, onFirstByte } = inUse;
    if (!facts.isSealed || facts.isEncoded) {
      return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.INVALID_ANSWER };
    }
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (!isSuccess) return await useFailure(answer);
    const splitter = createEventSplitter();
    const stall = createStallTimer(route.pauseGoalMs * STALL_TIMEOUT_FACTOR, () => {
      context.log.warn({ requestId: request.id, lastEventId }, "Stream stalled");
      exchange.cancel();
    });
    const pace = createPace(context, request);
    try {
      for await (const chunk of answer.body) {
        onFirstByte();
        pace.mark();
        stall.restart();
        for (const event of splitter.push(chunk)) {
          // A server that goes on may repeat what the caller has.
          if (event.id !== undefined && lastEventId !== undefined && event.id <= lastEventId) {
            continue;
          }
          begin(inUse);
          await writeToCaller(request, event.bytes);
          lastEventId = event.id ?? lastEventId;
        }
      }
    } finally {
      stall.clear();
    }
    begin(inUse);
    const rest = splitter.rest();
    if (rest.length > 0) await writeToCaller(request, rest);
    request.res.end();
    return {
      outcome: JOB_OUTCOME.ANSWERED,
      isDone: true,
      failure: FAILURE.INTERNAL,
      timing: pace.timing(),
    };
  };

  /** Writes the head once: a resumed stream keeps the headers of its first server. */
  const begin = ({ answer }: ReceivedAnswer) => {
    if (hasBegun) return;
    hasBegun = true;
    sendHead(context, request, answer, undefined);
    const waitMs = context.clock.nowMs() - request.arrivalMs;
    context.metrics.timing("first_event_ms", waitMs, { route: route.name });
  };

  const useFailure = async (answer: ServerAnswer): Promise<AttemptResult> => {
    const chunks: Buffer[] = [];
    for await (const chunk of answer.body) chunks.push(chunk);
    const deliver = () => {
      if (hasBegun) return void request.res.destroy();
      const body = Buffer.concat(chunks);
      sendHead(context, request, answer, body.length);
      request.res.end(body);
    };
    if (answer.status >= 500) {
      const failure = FAILURE.SERVER_BROKE_OFF;
      return { outcome: JOB_OUTCOME.FAILED, isDone: false, failure, deliver };
    }
    deliver();
    return { outcome: JOB_OUTCOME.FAILED, isDone: true, failure: FAILURE.INTERNAL };
  };

  return { handle: use, resumeAfter: () => lastEventId };
}

/** Measures when the chunks of a stream come. */
function createPace(context: ForwardingContext, request: CallerRequest) {
  let firstMs: number | undefined;
  let lastMs = 0;
  let longestPauseMs = 0;
  return {
    mark() {
      const now = context.clock.nowMs();
      if (firstMs === undefined) firstMs = now;
      else longestPauseMs = Math.max(longestPauseMs, now - lastMs);
      lastMs = now;
    },
    timing: () => ({
      firstEventMs: Math.round((firstMs ?? context.clock.nowMs()) - request.arrivalMs),
      longestPauseMs: Math.round(longestPauseMs),
    }),
  };
}

/** Timer that runs anew with each chunk; a timeout of 0 never fires. */
function createStallTimer(timeoutMs: number, onStall: () => void) {
  let timer: NodeJS.Timeout | undefined;
  return {
    restart() {
      if (timeoutMs === 0) return;
      if (timer === undefined) timer = setTimeout(onStall, timeoutMs);
      else timer.refresh();
    },
    clear: () => clearTimeout(timer),
  };
}
