import type { Millis } from "@jaypass/kernel";
import { JOB_OUTCOME } from "@jaypass/placement";
import type { JobOutcome, PlacementDecision, PlacementJob } from "@jaypass/placement";
import {
  CONNECT_TIMEOUT_MS,
  MAX_CONNECT_FAILURES,
  MIN_RETRY_REMAINING_MS,
  REJECTED_RETRY_AFTER_MS,
  SILENT_EXPECTED_FACTOR,
  SILENT_GOAL_FACTOR,
  SILENT_MIN_MS,
} from "../constants.ts";
import { FAILURE, ForwardingError } from "../errors.ts";
import type { Failure } from "../errors.ts";
import { EXCHANGE_FAILURE, ExchangeError, openExchange } from "../open_exchange.ts";
import type { Exchange, ServerAnswer } from "../open_exchange.ts";
import { ROUTE_KIND } from "../types.ts";
import type { AnswerFacts } from "../types.ts";
import { chooseUrgency } from "./choose_urgency.ts";
import type {
  CallerRequest,
  ForwardingContext,
  ForwardingServer,
  Reservation,
} from "./request_context.ts";

/** What the use of an answer came to. */
export interface UseResult {
  /** How the exchange ended. */
  outcome: JobOutcome;
  /** True when the caller has its answer, whole or broken off for good. */
  isDone: boolean;
  /** Why the caller gets a failure if no other server answers. */
  failure: Failure;
  /** Delivers the server's own failure, if no other server answers. */
  deliver?: () => void;
  /** Times of a stream, for the log. */
  timing?: StreamTiming;
}

/** When the events of a stream came from its server. */
export interface StreamTiming {
  /** Milliseconds from the caller's request to the first event of this server. */
  firstEventMs: Millis;
  /** Longest pause between two events. */
  longestPauseMs: Millis;
}

/** A server's answer whose head has come, with what is needed to use it. */
export interface AnswerInUse {
  /** Head and body. */
  answer: ServerAnswer;
  /** What its headers state. */
  facts: AnswerFacts;
  /** The exchange, to cancel it. */
  exchange: Exchange;
  /** To be called at the first byte of the body. */
  onFirstByte: () => void;
}

/** How an answer is used, and from where a stream goes on. */
export interface AttemptHandler {
  /** Uses an answer that a server made. */
  use(answer: AnswerInUse): Promise<UseResult>;
  /** Event after which the next server goes on; undefined before the first event. */
  resumeAfter(): number | undefined;
}

/** State of one request over its attempts. */
interface Attempts {
  sends: number;
  connectFailures: number;
  mayHaveRun: boolean;
  excludedIds: string[];
  last: UseResult | undefined;
}

/**
 * Sends a request to servers, one after another, until one answers or no further try is allowed.
 *
 * A request that may run once is sent once. 503 is answered only while nothing was sent or every
 * server that got the request said that it did not run it.
 *
 * @param context the host
 * @param request the caller's request
 * @param handler what to do with an answer
 * @throws {ForwardingError} when the caller gets a failure of the host's own
 */
export async function runAttempts(
  context: ForwardingContext,
  request: CallerRequest,
  handler: AttemptHandler,
): Promise<void> {
  const state: Attempts = {
    sends: 0,
    connectFailures: 0,
    mayHaveRun: false,
    excludedIds: [],
    last: undefined,
  };
  while (true) {
    const job = describeJob(context, request, state, handler);
    const decision = await placeUnlessAborted(context, request, job);
    if (decision === undefined) throw endOf(request);
    if (decision.kind === "refused") {
      if (finishWithLast(state)) return;
      throw refusalOf(state, decision);
    }
    const server = context.findServer(decision.serverId);
    if (request.signal.aborted || server === undefined) {
      context.placement.finished(job.id, JOB_OUTCOME.CANCELLED);
      if (request.signal.aborted) throw endOf(request);
      state.excludedIds.push(decision.serverId);
      state.connectFailures += 1;
      if (state.connectFailures >= MAX_CONNECT_FAILURES) throw noServer(state);
      continue;
    }
    const result = await runOnce(context, request, { job, decision, server, state, handler });
    context.log.info({
      requestId: request.id,
      server: server.id,
      configuration: context.configuration()?.version,
      send: state.sends,
      helpers: decision.helperIds.length,
      tickets: decision.tickets.length,
      expectedMs: Math.round(decision.expectedMs),
      elapsedMs: Math.round(context.clock.nowMs() - request.arrivalMs),
      outcome: result.outcome,
      failure: result.isDone ? undefined : result.failure,
      promptTokens: request.facts.promptTokens || undefined,
      ...result.timing,
    }, "Attempt ended");
    if (result.isDone) return;
    state.last = result;
    state.excludedIds.push(server.id);
    if (!mayTryAgain(context, request, state, result)) {
      if (finishWithLast(state)) return;
      throw failureOf(request, state, result);
    }
    context.metrics.increment("retry", { reason: result.failure });
  }
}

/** Places a job; undefined when the caller leaves or its deadline passes before the decision. */
async function placeUnlessAborted(
  context: ForwardingContext,
  request: CallerRequest,
  job: PlacementJob,
): Promise<PlacementDecision | undefined> {
  const { signal } = request;
  if (signal.aborted) return undefined;
  let onAbort = () => {};
  const aborted = new Promise<undefined>((resolve) => {
    onAbort = () => resolve(undefined);
    signal.addEventListener("abort", onAbort, { once: true });
  });
  const placing = context.placement.place(job);
  const decision = await Promise.race([placing, aborted]);
  signal.removeEventListener("abort", onAbort);
  if (decision !== undefined) return decision;
  context.placement.cancel(job.id);
  // The decision may have been on its way; a placed job is ended as well.
  placing.then(() => context.placement.finished(job.id, JOB_OUTCOME.CANCELLED));
  return undefined;
}

function describeJob(
  context: ForwardingContext,
  request: CallerRequest,
  state: Attempts,
  handler: AttemptHandler,
): PlacementJob {
  const { facts, route } = request;
  const attempt = state.sends + state.connectFailures;
  const now = context.clock.nowMs();
  return {
    id: `${request.id}.${attempt}`,
    service: request.service,
    promptTokens: facts.promptTokens,
    answerTokens: facts.estimatedAnswerTokens ?? facts.maxAnswerTokens,
    goalMs: route.goalMs,
    pauseGoalMs: route.pauseGoalMs,
    remainingMs: patienceEndMs(request, now, handler.resumeAfter() !== undefined) - now,
    elapsedMs: now - request.arrivalMs,
    excludedIds: state.excludedIds,
    isRetry: state.sends > 0,
    fingerprint: request.fingerprint,
    isRepeatable: isRepeatable(request),
  };
}

/** Monotonic time up to which a first event is of use; a caller that waits on is served on. */
function patienceEndMs(request: CallerRequest, nowMs: Millis, hasBegun: boolean): Millis {
  const patienceMs = request.arrivalMs + request.route.patienceMs;
  return hasBegun || patienceMs <= nowMs ? request.endMs : Math.min(request.endMs, patienceMs);
}

interface Attempt {
  job: PlacementJob;
  decision: PlacementDecision & { kind: "placed" };
  server: ForwardingServer;
  state: Attempts;
  handler: AttemptHandler;
}

async function runOnce(
  context: ForwardingContext,
  request: CallerRequest,
  attempt: Attempt,
): Promise<UseResult> {
  const { job, decision } = attempt;
  const reservation = await reserveMemory(context, attempt);
  if (decision.tickets.length > 0 && reservation === undefined) {
    context.placement.finished(job.id, JOB_OUTCOME.CANCELLED);
    attempt.state.connectFailures += 1;
    return { outcome: JOB_OUTCOME.REJECTED, isDone: false, failure: FAILURE.TOO_LARGE };
  }
  let faultyId: string | undefined;
  let outcome: JobOutcome = JOB_OUTCOME.CANCELLED;
  try {
    const result = await exchangeOnce(context, request, attempt, {
      reservation,
      onFault: (address) => {
        faultyId = context.findServerAt(address);
      },
    });
    outcome = result.outcome;
    return result;
  } finally {
    reservation?.release();
    context.placement.finished(job.id, outcome, faultyId);
  }
}

async function reserveMemory(
  context: ForwardingContext,
  { job, decision }: Attempt,
): Promise<Reservation | undefined> {
  if (decision.tickets.length === 0) return undefined;
  const plans = decision.tickets.flatMap(({ serverId, tokens }) => {
    const address = context.findServer(serverId)?.address;
    return address === undefined ? [] : [{ address, serverId, tokens }];
  });
  if (plans.length < decision.tickets.length) return undefined;
  return await context.reservations.reserve(job.id, plans);
}

async function exchangeOnce(
  context: ForwardingContext,
  request: CallerRequest,
  { job, decision, server, state, handler }: Attempt,
  options: { reservation: Reservation | undefined; onFault: (address: string) => void },
): Promise<UseResult> {
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
      urgency: chooseUrgency(request.facts.promptTokens),
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
    if (facts.attemptId !== undefined && facts.attemptId !== request.facts.attemptId) {
      exchange.cancel();
      return { outcome: JOB_OUTCOME.BROKEN, isDone: false, failure: FAILURE.INVALID_ANSWER };
    }
    const onFirstByte = () => {
      silence.clear();
      context.placement.started(job.id);
    };
    return await handler.use({ answer, facts, exchange, onFirstByte });
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
  state: Attempts,
  err: ExchangeError,
  isSilent: boolean,
): UseResult {
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
    SILENT_MIN_MS,
    SILENT_EXPECTED_FACTOR * options.expectedMs + SILENT_GOAL_FACTOR * request.route.goalMs,
  );
  const timer = setTimeout(() => {
    hasFired = true;
    context.log.warn({ requestId: request.id, timeoutMs }, "Server silent; trying another one");
    options.exchange.cancel();
  }, timeoutMs);
  return { clear: () => clearTimeout(timer), hasFired: () => hasFired };
}

/** Reports whether the request may run at a second server. */
function isRepeatable(request: CallerRequest): boolean {
  const { kind, isResumable } = request.route;
  return kind === ROUTE_KIND.IDEMPOTENT || (kind === ROUTE_KIND.STREAMING && isResumable);
}

function mayTryAgain(
  context: ForwardingContext,
  request: CallerRequest,
  state: Attempts,
  result: UseResult,
): boolean {
  if (request.signal.aborted) return false;
  if (request.endMs - context.clock.nowMs() < MIN_RETRY_REMAINING_MS) return false;
  if (state.connectFailures >= MAX_CONNECT_FAILURES) return false;
  if (state.sends === 0) return true;
  if (state.sends >= request.route.maxAttempts) return false;
  return result.outcome === JOB_OUTCOME.REJECTED && !state.mayHaveRun
    ? true
    : isRepeatable(request);
}

/** Delivers the last server's own failure, if there is one. */
function finishWithLast(state: Attempts): boolean {
  if (state.last?.deliver === undefined) return false;
  state.last.deliver();
  return true;
}

function refusalOf(
  state: Attempts,
  decision: PlacementDecision & { kind: "refused" },
): ForwardingError {
  if (state.mayHaveRun) return new ForwardingError(502, state.last?.failure ?? FAILURE.INTERNAL);
  return new ForwardingError(503, decision.reason, { retryAfterMs: decision.retryAfterMs });
}

function noServer(state: Attempts): ForwardingError {
  if (state.mayHaveRun) return new ForwardingError(502, FAILURE.NO_SERVER);
  return new ForwardingError(503, FAILURE.NO_SERVER, { retryAfterMs: REJECTED_RETRY_AFTER_MS });
}

function endOf(request: CallerRequest): ForwardingError {
  const isTimeout = request.endMs - request.arrivalMs >= request.route.timeoutMs;
  return new ForwardingError(504, isTimeout ? FAILURE.ROUTE_TIMEOUT : FAILURE.DEADLINE);
}

function failureOf(
  request: CallerRequest,
  state: Attempts,
  result: UseResult,
): ForwardingError {
  if (request.signal.aborted) return endOf(request);
  if (state.mayHaveRun) return new ForwardingError(502, result.failure);
  return new ForwardingError(503, result.failure, { retryAfterMs: REJECTED_RETRY_AFTER_MS });
}
