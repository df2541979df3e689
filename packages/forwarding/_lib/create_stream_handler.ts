import { createBodyCollector } from "@jaypass/client_limits";
import type { MemoryBudget } from "@jaypass/client_limits";
import type { Millis } from "@jaypass/kernel";
import { JOB_OUTCOME } from "@jaypass/placement";
import type { JobOutcome } from "@jaypass/placement";
import { MAX_BUFFERED_ANSWER_BYTES, MAX_EVENT_BYTES } from "../constants.ts";
import { createEventSplitter } from "../create_event_splitter.ts";
import { FAILURE } from "../errors.ts";
import type { ServerAnswer } from "../open_exchange.ts";
import { DROPPED } from "./attempt.ts";
import type { AnswerHandler, AttemptResult, ReceivedAnswer } from "./attempt.ts";
import { createCallerAnswer } from "./create_caller_answer.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/**
 * Creates the handler of event streams.
 *
 * Only complete events are passed on, so that an interrupted stream can resume at another server
 * after the last event that the caller received. Once the head is sent, a server's answer counts
 * only if it continues the stream, with events whose ids follow the last one. An answer without such
 * an event is no continuation, since it does not show that the last event was the end of the stream.
 * While two runs are in progress, the first one with a next event, or the one that wrote the last event
 * with the end of the stream, continues it; each has a splitter of its own, so that no event has parts
 * of two runs.
 * The connection of a stream that cannot resume is closed without the end of the body, so that the
 * caller does not take the answer for complete. A stream that only the end of its connection ends
 * counts as interrupted if it ends in an event or has none.
 *
 * @param context services of the host
 * @param request the caller's request
 * @returns the handler
 */
export function createStreamHandler(
  context: ForwardingContext,
  request: CallerRequest,
): AnswerHandler {
  const { route, answerMemory } = request;
  const callerAnswer = createCallerAnswer(context, request);
  let lastEventId: number | undefined;
  const invalidAnswer = (
    reason: string,
    outcome: JobOutcome = JOB_OUTCOME.BROKEN,
  ): AttemptResult => {
    context.log.warn(
      { requestId: request.id, lastEventId, reason },
      "Server sent an invalid stream",
    );
    return { outcome, isDone: false, failure: FAILURE.INVALID_ANSWER };
  };

  const handle = async (received: ReceivedAnswer): Promise<AttemptResult> => {
    const { answer, metadata, onChunk, onStalled, run } = received;
    if (!metadata.isSealed || metadata.isEncoded) {
      return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.INVALID_ANSWER };
    }
    const isContinuation = callerAnswer.hasBegun();
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (!isSuccess && isContinuation) {
      return invalidAnswer("Error answer does not continue the stream", JOB_OUTCOME.FAILED);
    }
    if (!isSuccess) return await handleFailure(answer, run);
    const splitter = createEventSplitter();
    const eventMemory = createEventMemory(answerMemory.body);
    const stallTimer = createStallTimer(received.stallTimeoutMs, onStalled);
    const streamTimer = createStreamTimer(context, request);
    let repeatedBytes = 0;
    let hasNewEvent = false;
    try {
      for await (const chunk of answer.body) {
        onChunk();
        streamTimer.recordChunk();
        // A caller that reads slowly delays the next chunk as well.
        stallTimer.clear();
        for (const event of splitter.push(chunk)) {
          // The other run may have continued the stream while this one waited for a slow caller.
          if (!run.isActive()) return DROPPED;
          // A server that resumes a stream may repeat events that the caller has already.
          if (event.id === undefined) return invalidAnswer("Event without an id");
          if (lastEventId !== undefined && event.id <= lastEventId) {
            repeatedBytes += event.bytes.length;
            if (repeatedBytes > MAX_EVENT_BYTES) return invalidAnswer("Events are repeated");
            continue;
          }
          // The ids of the first server's events are its own; later ones must go on from them.
          if (isContinuation && lastEventId !== undefined && event.id !== lastEventId + 1) {
            return invalidAnswer("Events are missing");
          }
          if (!run.claim()) return DROPPED;
          hasNewEvent = true;
          beginOnce(answer);
          lastEventId = event.id;
          await callerAnswer.write(event.bytes);
        }
        const restBytes = splitter.rest().length;
        if (restBytes > MAX_EVENT_BYTES) return invalidAnswer("Event is too long");
        if (!eventMemory.tryHold(restBytes)) return invalidAnswer("No memory for an event");
        stallTimer.start();
      }
    } finally {
      stallTimer.clear();
      eventMemory.tryHold(0);
    }
    if (!run.isActive()) return DROPPED;
    const rest = splitter.rest();
    const hasEvent = (lastEventId ?? request.metadata.lastEventId) !== undefined;
    if (answer.endsWithConnection && (rest.length > 0 || !hasEvent)) {
      context.log.warn({ requestId: request.id, lastEventId }, "Stream without a length was cut");
      return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.SERVER_BROKE_OFF };
    }
    if (isContinuation && !hasNewEvent) {
      return invalidAnswer("No event follows the last one", JOB_OUTCOME.FAILED);
    }
    if (rest.length > 0 && (callerAnswer.hasBegun() || isEventStream(answer))) {
      return invalidAnswer("Stream ends within an event");
    }
    if (!run.claim()) return DROPPED;
    beginOnce(answer);
    if (rest.length > 0) await callerAnswer.write(rest);
    callerAnswer.end();
    return {
      outcome: JOB_OUTCOME.ANSWERED,
      isDone: true,
      failure: FAILURE.INTERNAL,
      timing: streamTimer.timing(),
    };
  };

  /** Sends the head once: a resumed stream keeps the headers of its first server. */
  const beginOnce = (answer: ServerAnswer) => {
    if (callerAnswer.hasBegun()) return;
    callerAnswer.begin(answer);
    const waitMs = context.clock.nowMs() - request.arrivalMs;
    context.metrics.timing("first_event_ms", waitMs, { route: route.name });
  };

  const handleFailure = async (
    answer: ServerAnswer,
    run: ReceivedAnswer["run"],
  ): Promise<AttemptResult> => {
    const body = createBodyCollector(answerMemory.body);
    for await (const chunk of answer.body) {
      const isTaken = body.tryAdd(chunk);
      if (isTaken && body.length() <= MAX_BUFFERED_ANSWER_BYTES) continue;
      body.discard();
      return invalidAnswer(isTaken ? "Error answer is too long" : "No memory for an error answer");
    }
    const bytes = body.finish();
    const deliver = () => callerAnswer.send(answer, bytes);
    if (answer.status >= 500) {
      const failure = FAILURE.SERVER_BROKE_OFF;
      return { outcome: JOB_OUTCOME.FAILED, isDone: false, failure, deliver };
    }
    if (!run.claim()) return DROPPED;
    deliver();
    return { outcome: JOB_OUTCOME.FAILED, isDone: true, failure: FAILURE.INTERNAL };
  };

  return { handle, resumeAfter: () => lastEventId, canContinue: () => true };
}

/** Reports whether the headers of an answer state that its body is a stream of events. */
function isEventStream({ headers }: ServerAnswer): boolean {
  return headers.some((value, at) =>
    at % 2 === 1 && headers[at - 1]?.toLowerCase() === "content-type" &&
    value.trim().toLowerCase().startsWith("text/event-stream")
  );
}

/** Measures the arrival times of the chunks of a stream. */
function createStreamTimer(context: ForwardingContext, request: CallerRequest) {
  let firstMs: number | undefined;
  let lastMs = 0;
  let longestPauseMs = 0;
  return {
    recordChunk() {
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

/** Counts the bytes of the event that has not ended yet. */
function createEventMemory(memory: MemoryBudget) {
  let heldBytes = 0;
  return {
    /** Sets the number of bytes; returns false if the memory does not allow it. */
    tryHold(bytes: number): boolean {
      if (bytes > heldBytes && !memory.tryReserve(bytes - heldBytes)) return false;
      if (bytes < heldBytes) memory.release(heldBytes - bytes);
      heldBytes = bytes;
      return true;
    },
  };
}

/** Creates a timer that fires repeatedly once it is started; with a timeout of 0 never. */
function createStallTimer(findTimeoutMs: () => Millis, onStall: () => void) {
  let timer: NodeJS.Timeout | undefined;
  return {
    start() {
      const timeoutMs = findTimeoutMs();
      if (timeoutMs > 0) timer = setInterval(onStall, timeoutMs);
    },
    clear: () => clearInterval(timer),
  };
}
