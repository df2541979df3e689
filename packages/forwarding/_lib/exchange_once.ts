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
import { FAILURE, ForwardingError } from "../errors.ts";
import { EXCHANGE_FAILURE, ExchangeError, openExchange } from "../open_exchange.ts";
import type { Exchange } from "../open_exchange.ts";
import type { Attempt, AttemptResult, AttemptState } from "./attempt.ts";
import { chooseUrgency } from "./choose_urgency.ts";
import { createSilenceWatch } from "./create_silence_watch.ts";
import type { SilenceWatch } from "./create_silence_watch.ts";
import { isRepeatable } from "./describe_job.ts";
import { readOwnAnswer } from "./read_own_answer.ts";
import type { CallerRequest, ForwardingContext, Reservation } from "./request_context.ts";

/**
 * Sends a request to one server and passes the answer to the handler.
 *
 * @throws {ForwardingError} if the request cannot be sent to any server
 */
export async function exchangeOnce(
  context: ForwardingContext,
  request: CallerRequest,
  { job, decision, server, state, handler }: Attempt,
  options: { reservation: Reservation | undefined; onFaultyServer: (address: string) => void },
): Promise<AttemptResult> {
  // The caller may have disconnected while memory was reserved.
  if (request.signal.aborted) {
    return { outcome: JOB_OUTCOME.CANCELLED, isDone: false, failure: FAILURE.DEADLINE };
  }
  const helpers = decision.helperIds.flatMap((id) => {
    const address = context.findServer(id)?.address;
    return address === undefined ? [] : [{ address, ticket: options.reservation?.tickets.get(id) }];
  });
  state.sendCount += 1;
  state.isInFlight = true;
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
      urgency: chooseUrgency(request.metadata.promptTokens),
    }),
  }, { connectTimeoutMs: CONNECT_TIMEOUT_MS });
  const onAbort = () => exchange.cancel();
  request.signal.addEventListener("abort", onAbort, { once: true });
  const isLast = state.sendCount - state.lostCount >= request.route.maxAttempts;
  const mayRetry = !isLast && isRepeatable(request);
  const firstByteTimer = startFirstByteTimer(context, request, {
    expectedMs: decision.expectedMs,
    mayRetry,
    exchange,
  });
  const silence = createSilenceWatch(context, {
    requestId: request.id,
    server,
    // Memory that is reserved for a request must not outlast its engine, so that one is checked early.
    expectedMs: options.reservation === undefined ? decision.expectedMs : 0,
    pauseMs: request.route.pauseGoalMs,
    isRepeatable: isRepeatable(request),
    onGivenUp: exchange.cancel,
  });
  try {
    const answer = await exchange.answer;
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
    const onChunk = () => {
      firstByteTimer.clear();
      silence.recordData();
      context.placement.started(job.id);
    };
    return await handler.handle({ answer, metadata, exchange, mayRetry, onChunk });
  } catch (err) {
    if (!(err instanceof ExchangeError)) throw err;
    if (err.failure === EXCHANGE_FAILURE.INVALID_REQUEST) {
      // No server would get the request, so the caller must change it.
      throw new ForwardingError(400, FAILURE.INVALID_REQUEST, { cause: err });
    }
    return classifyExchangeError(request, state, err, {
      isTimedOut: firstByteTimer.hasFired(),
      givenUpAs: silence.givenUpAs(),
    });
  } finally {
    state.isInFlight = false;
    firstByteTimer.clear();
    silence.stop();
    request.signal.removeEventListener("abort", onAbort);
    exchange.cancel();
  }
}

function classifyExchangeError(
  request: CallerRequest,
  state: AttemptState,
  err: ExchangeError,
  { isTimedOut, givenUpAs }: {
    isTimedOut: boolean;
    givenUpAs: ReturnType<SilenceWatch["givenUpAs"]>;
  },
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
  if (givenUpAs !== undefined) {
    if (givenUpAs === "lost") state.lostCount += 1;
    return { outcome: JOB_OUTCOME.SILENT, isDone: false, failure: FAILURE.SERVER_LOST };
  }
  if (isTimedOut) {
    return { outcome: JOB_OUTCOME.SILENT, isDone: false, failure: FAILURE.SERVER_SILENT };
  }
  return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.SERVER_BROKE_OFF };
}

/**
 * Starts a timer that cancels an exchange if its first byte does not arrive in time. The timer does
 * nothing if no other server may be tried afterwards.
 */
function startFirstByteTimer(
  context: ForwardingContext,
  request: CallerRequest,
  options: { expectedMs: Millis; mayRetry: boolean; exchange: Exchange },
): { clear(): void; hasFired(): boolean } {
  let hasFired = false;
  if (!options.mayRetry) return { clear: () => {}, hasFired: () => false };
  const remainingMs = request.endMs - context.clock.nowMs();
  const timeoutMs = Math.max(
    MIN_FIRST_BYTE_TIMEOUT_MS,
    Math.min(SILENCE_TOLERANCE_MS, FIRST_BYTE_SILENCE_SHARE * remainingMs),
    FIRST_BYTE_EXPECTED_FACTOR * options.expectedMs + FIRST_BYTE_GOAL_FACTOR * request.route.goalMs,
  );
  const timer = setTimeout(() => {
    hasFired = true;
    context.log.warn(
      { requestId: request.id, timeoutMs },
      "No first byte from server in time; trying another server",
    );
    options.exchange.cancel();
  }, timeoutMs);
  return { clear: () => clearTimeout(timer), hasFired: () => hasFired };
}
