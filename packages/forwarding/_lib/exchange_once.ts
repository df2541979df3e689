import type { Millis } from "@jaypass/kernel";
import { JOB_OUTCOME } from "@jaypass/placement";
import {
  CONNECT_TIMEOUT_MS,
  FIRST_BYTE_EXPECTED_FACTOR,
  FIRST_BYTE_GOAL_FACTOR,
  MIN_FIRST_BYTE_TIMEOUT_MS,
} from "../constants.ts";
import { FAILURE } from "../errors.ts";
import { EXCHANGE_FAILURE, ExchangeError, openExchange } from "../open_exchange.ts";
import type { Exchange } from "../open_exchange.ts";
import type { Attempt, AttemptResult, AttemptState } from "./attempt.ts";
import { chooseUrgency } from "./choose_urgency.ts";
import { isRepeatable } from "./describe_job.ts";
import type { CallerRequest, ForwardingContext, Reservation } from "./request_context.ts";

/** Sends a request to one server and lets its answer be used. */
export async function exchangeOnce(
  context: ForwardingContext,
  request: CallerRequest,
  { job, decision, server, state, handler }: Attempt,
  options: { reservation: Reservation | undefined; onFault: (address: string) => void },
): Promise<AttemptResult> {
  // The caller may have left while memory was reserved.
  if (request.signal.aborted) {
    return { outcome: JOB_OUTCOME.CANCELLED, isDone: false, failure: FAILURE.DEADLINE };
  }
  const helpers = decision.helperIds.flatMap((id) => {
    const address = context.findServer(id)?.address;
    return address === undefined ? [] : [{ address, ticket: options.reservation?.tickets.get(id) }];
  });
  state.sends += 1;
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
  const silence = watchSilence(context, request, {
    expectedMs: decision.expectedMs,
    isLast: state.sends >= request.route.maxAttempts,
    exchange,
  });
  try {
    const answer = await exchange.answer;
    const facts = context.codec.readAnswer(answer.status, answer.headers);
    if (facts.isNotRun) {
      if (facts.faultyAddress !== undefined) options.onFault(facts.faultyAddress);
      exchange.cancel();
      return { outcome: JOB_OUTCOME.REJECTED, isDone: false, failure: FAILURE.SERVER_REJECTED };
    }
    state.mayHaveRun = true;
    if (facts.attemptId !== undefined && facts.attemptId !== request.metadata.attemptId) {
      exchange.cancel();
      return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.INVALID_ANSWER };
    }
    const onFirstByte = () => {
      silence.clear();
      context.placement.started(job.id);
    };
    return await handler.handle({ answer, metadata: facts, exchange, onFirstByte });
  } catch (err) {
    if (!(err instanceof ExchangeError)) throw err;
    return judgeExchangeError(request, state, err, silence.hasFired());
  } finally {
    silence.clear();
    request.signal.removeEventListener("abort", onAbort);
    exchange.cancel();
  }
}

function judgeExchangeError(
  request: CallerRequest,
  state: AttemptState,
  err: ExchangeError,
  isSilent: boolean,
): AttemptResult {
  if (err.failure === EXCHANGE_FAILURE.NOT_CONNECTED) {
    state.sends -= 1;
    state.connectFailures += 1;
    return { outcome: JOB_OUTCOME.SILENT, isDone: false, failure: FAILURE.NO_SERVER };
  }
  state.mayHaveRun = true;
  if (request.signal.aborted) {
    return { outcome: JOB_OUTCOME.CANCELLED, isDone: false, failure: FAILURE.DEADLINE };
  }
  if (isSilent) {
    return { outcome: JOB_OUTCOME.SILENT, isDone: false, failure: FAILURE.SERVER_SILENT };
  }
  return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.SERVER_BROKE_OFF };
}

/** Cancels an exchange without a first byte in time, where another server may still be tried. */
function watchSilence(
  context: ForwardingContext,
  request: CallerRequest,
  options: { expectedMs: Millis; isLast: boolean; exchange: Exchange },
): { clear(): void; hasFired(): boolean } {
  let hasFired = false;
  const isUseful = !options.isLast && isRepeatable(request);
  if (!isUseful) return { clear: () => {}, hasFired: () => false };
  const timeoutMs = Math.max(
    MIN_FIRST_BYTE_TIMEOUT_MS,
    FIRST_BYTE_EXPECTED_FACTOR * options.expectedMs + FIRST_BYTE_GOAL_FACTOR * request.route.goalMs,
  );
  const timer = setTimeout(() => {
    hasFired = true;
    context.log.warn({ requestId: request.id, timeoutMs }, "Server silent; trying another one");
    options.exchange.cancel();
  }, timeoutMs);
  return { clear: () => clearTimeout(timer), hasFired: () => hasFired };
}
