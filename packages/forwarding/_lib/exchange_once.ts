import { runAfterRead } from "@jaypass/kernel";
import type { Millis } from "@jaypass/kernel";
import { JOB_OUTCOME } from "@jaypass/placement";
import {
  CONNECT_TIMEOUT_MS,
  FIRST_BYTE_EXPECTED_FACTOR,
  FIRST_BYTE_GOAL_FACTOR,
  FIRST_BYTE_SILENCE_SHARE,
  MIN_FIRST_BYTE_TIMEOUT_MS,
  NOT_RUN_STATUSES,
  SILENCE_TOLERANCE_MS,
} from "../constants.ts";
import { computeStallTimeoutMs } from "../compute_stall_timeout_ms.ts";
import { FAILURE, ForwardingError } from "../errors.ts";
import { EXCHANGE_FAILURE, ExchangeError, openExchange } from "../open_exchange.ts";
import { DROPPED } from "./attempt.ts";
import type { AttemptResult, AttemptState, RunningAttempt } from "./attempt.ts";
import { chooseUrgency } from "./choose_urgency.ts";
import type { Run } from "./create_concurrent_runs.ts";
import { createSilenceWatch } from "./create_silence_watch.ts";
import { createSuccessorSearch } from "./create_successor_search.ts";
import type { SilenceReason } from "./create_successor_search.ts";
import { findPriority } from "./find_priority.ts";
import { findDroppedOutcome } from "./find_dropped_outcome.ts";
import { readOwnAnswer } from "./read_own_answer.ts";
import type { CallerRequest, ForwardingContext, Reservation } from "./request_context.ts";
import { watchSlowness } from "./watch_slowness.ts";

/**
 * Sends a request to one server and passes the answer to the handler.
 *
 * @throws {ForwardingError} if the request cannot be sent to any server
 */
export async function exchangeOnce(
  context: ForwardingContext,
  request: CallerRequest,
  attempt: RunningAttempt,
  options: { reservation: Reservation | undefined; onFaultyServer: (address: string) => void },
): Promise<AttemptResult> {
  const { job, decision, server, state, handler, run, trace } = attempt;
  // The caller may have disconnected while memory was reserved.
  if (request.signal.aborted) {
    return { outcome: JOB_OUTCOME.CANCELLED, isDone: false, failure: FAILURE.DEADLINE };
  }
  const helpers = decision.helperIds.flatMap((id) => {
    const address = context.findServer(id)?.address;
    return address === undefined ? [] : [{ address, ticket: options.reservation?.tickets.get(id) }];
  });
  state.sendCount += 1;
  state.inFlightCount += 1;
  run.recordSend();
  trace.recordSend();
  let receivedCount = 0;
  const onReceived = () => {
    receivedCount += 1;
    request.onReceived();
  };
  const configuration = context.configuration();
  const exchange = openExchange({
    address: server.address,
    method: request.method,
    target: request.target,
    body: request.body,
    headers: context.codec.writeServerRequest(request.headers, {
      serverId: server.id,
      workspace: request.workspace,
      remainingMs: Math.max(1, Math.floor(request.endMs - context.clock.nowMs())),
      resumeAfter: handler.resumeAfter(),
      helpers,
      urgency: chooseUrgency(
        request.metadata.promptTokens,
        findPriority(configuration, request),
        configuration?.services.get(request.service)?.priorities,
      ),
    }),
  }, { connectTimeoutMs: CONNECT_TIMEOUT_MS, onReceived });
  const onAbort = () => exchange.cancel();
  request.signal.addEventListener("abort", onAbort, { once: true });
  run.signal.addEventListener("abort", onAbort, { once: true });
  const successors = createSuccessorSearch(context, request, attempt);
  run.setLastRunListener(() => successors.start("other_failed"));
  /** Timers run before sockets are read, so that data may have arrived during a stall of the process. */
  const runIfNothingReceived = (search: () => void) => {
    const earlierCount = receivedCount;
    runAfterRead(() => {
      if (receivedCount === earlierCount && run.isActive()) search();
    });
  };
  const searchAfterRead = (reason: SilenceReason) =>
    runIfNothingReceived(() => successors.start(reason));
  const slowness = watchSlowness(context, request, attempt, () =>
    runIfNothingReceived(() => {
      if (slowness.isHedgeDue()) successors.startHedge();
    }));
  const firstByteTimer = setInterval(
    () => searchAfterRead("no_first_byte"),
    computeFirstByteTimeoutMs(request, {
      expectedMs: decision.expectedMs,
      remainingMs: request.endMs - context.clock.nowMs(),
    }),
  );
  const silence = createSilenceWatch(context, {
    requestId: request.id,
    server,
    // Memory that is reserved for a request must not outlast its engine, so that one is checked early.
    expectedMs: options.reservation === undefined ? decision.expectedMs : 0,
    pauseMs: request.route.pauseGoalMs,
    onLost: exchange.cancel,
    onUnreachable: () => successors.start("unreachable"),
  });
  try {
    const answer = await exchange.answer;
    if (!run.isActive()) return DROPPED;
    const metadata = readOwnAnswer(context, request, answer);
    if (metadata === undefined) {
      state.mayHaveRun = true;
      exchange.cancel();
      return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.INVALID_ANSWER };
    }
    context.notices.record(server, metadata);
    if (metadata.isNotRun) {
      if (metadata.faultyAddress !== undefined) options.onFaultyServer(metadata.faultyAddress);
      exchange.cancel();
      return { outcome: JOB_OUTCOME.REJECTED, isDone: false, failure: FAILURE.SERVER_REJECTED };
    }
    state.mayHaveRun = true;
    if (NOT_RUN_STATUSES.has(answer.status)) {
      return { outcome: JOB_OUTCOME.FAILED, isDone: false, failure: FAILURE.INVALID_ANSWER };
    }
    if (!request.answerMemory.tryReserveHead(answer.headers)) {
      return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.INVALID_ANSWER };
    }
    const onChunk = () => {
      clearInterval(firstByteTimer);
      silence.recordData();
      slowness.recordData();
      successors.cancel();
      run.recordData();
      trace.recordData();
      context.placement.started(job.id);
    };
    const onStalled = () => searchAfterRead("stalled");
    const stallTimeoutMs = () =>
      computeStallTimeoutMs(request.route.pauseGoalMs, {
        elapsedMs: context.stop.time()?.elapsedMs,
        firstByteMs: decision.expectedMs,
      });
    return await handler.handle({ answer, metadata, onChunk, onStalled, stallTimeoutMs, run });
  } catch (err) {
    if (!(err instanceof ExchangeError)) throw err;
    if (err.failure === EXCHANGE_FAILURE.INVALID_REQUEST) {
      // No server would get the request, so the caller must change it.
      throw new ForwardingError(400, FAILURE.INVALID_REQUEST, { cause: err });
    }
    return classifyExchangeError(request, state, err, {
      isLost: silence.isLost(),
      run,
    });
  } finally {
    state.inFlightCount -= 1;
    clearInterval(firstByteTimer);
    silence.stop();
    slowness.stop();
    run.setLastRunListener(undefined);
    successors.cancel();
    request.signal.removeEventListener("abort", onAbort);
    run.signal.removeEventListener("abort", onAbort);
    exchange.cancel();
  }
}

function classifyExchangeError(
  request: CallerRequest,
  state: AttemptState,
  err: ExchangeError,
  { isLost, run }: { isLost: boolean; run: Run },
): AttemptResult {
  if (err.failure === EXCHANGE_FAILURE.NOT_CONNECTED) {
    state.sendCount -= 1;
    state.connectFailureCount += 1;
    return { outcome: JOB_OUTCOME.SILENT, isDone: false, failure: FAILURE.NO_SERVER };
  }
  state.mayHaveRun = true;
  if (request.signal.aborted) {
    return { outcome: JOB_OUTCOME.CANCELLED, isDone: false, failure: FAILURE.DEADLINE };
  }
  if (isLost) {
    state.lostCount += 1;
    return { outcome: JOB_OUTCOME.SILENT, isDone: false, failure: FAILURE.SERVER_LOST };
  }
  if (!run.isActive()) return { ...DROPPED, outcome: findDroppedOutcome(request, run) };
  return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.SERVER_BROKE_OFF };
}

/** Computes the time without a first byte after which another server is searched. */
function computeFirstByteTimeoutMs(
  { route }: CallerRequest,
  { expectedMs, remainingMs }: { expectedMs: Millis; remainingMs: Millis },
): Millis {
  return Math.max(
    MIN_FIRST_BYTE_TIMEOUT_MS,
    Math.min(SILENCE_TOLERANCE_MS, FIRST_BYTE_SILENCE_SHARE * remainingMs),
    FIRST_BYTE_EXPECTED_FACTOR * expectedMs + FIRST_BYTE_GOAL_FACTOR * route.goalMs,
  );
}
