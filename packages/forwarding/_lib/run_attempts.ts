import { JOB_OUTCOME } from "@jaypass/placement";
import type { JobOutcome, PlacementDecision, PlacementJob } from "@jaypass/placement";
import {
  MAX_CONNECT_FAILURES,
  MIN_RETRY_REMAINING_MS,
  REJECTED_RETRY_AFTER_MS,
} from "../constants.ts";
import { FAILURE, ForwardingError } from "../errors.ts";
import type { AnswerHandler, Attempt, AttemptResult, AttemptState } from "./attempt.ts";
import { describeJob, isRepeatable } from "./describe_job.ts";
import { exchangeOnce } from "./exchange_once.ts";
import type { CallerRequest, ForwardingContext, Reservation } from "./request_context.ts";

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
  handler: AnswerHandler,
): Promise<void> {
  const state: AttemptState = {
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
      promptTokens: request.metadata.promptTokens || undefined,
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

async function runOnce(
  context: ForwardingContext,
  request: CallerRequest,
  attempt: Attempt,
): Promise<AttemptResult> {
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
        context.log.info(
          { requestId: request.id, server: decision.serverId, faulty: faultyId ?? address },
          "Rejected because of a server",
        );
      },
    });
    outcome = result.outcome;
    return result;
  } finally {
    reservation?.release();
    context.placement.finished(job.id, outcome, faultyId);
  }
}

function mayTryAgain(
  context: ForwardingContext,
  request: CallerRequest,
  state: AttemptState,
  result: AttemptResult,
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
function finishWithLast(state: AttemptState): boolean {
  if (state.last?.deliver === undefined) return false;
  state.last.deliver();
  return true;
}

function refusalOf(
  state: AttemptState,
  decision: PlacementDecision & { kind: "refused" },
): ForwardingError {
  if (state.mayHaveRun) return new ForwardingError(502, state.last?.failure ?? FAILURE.INTERNAL);
  return new ForwardingError(503, decision.reason, { retryAfterMs: decision.retryAfterMs });
}

function noServer(state: AttemptState): ForwardingError {
  if (state.mayHaveRun) return new ForwardingError(502, FAILURE.NO_SERVER);
  return new ForwardingError(503, FAILURE.NO_SERVER, { retryAfterMs: REJECTED_RETRY_AFTER_MS });
}

function endOf(request: CallerRequest): ForwardingError {
  const isTimeout = request.endMs - request.arrivalMs >= request.route.timeoutMs;
  return new ForwardingError(504, isTimeout ? FAILURE.ROUTE_TIMEOUT : FAILURE.DEADLINE);
}

function failureOf(
  request: CallerRequest,
  state: AttemptState,
  result: AttemptResult,
): ForwardingError {
  if (request.signal.aborted) return endOf(request);
  if (state.mayHaveRun) return new ForwardingError(502, result.failure);
  return new ForwardingError(503, result.failure, { retryAfterMs: REJECTED_RETRY_AFTER_MS });
}
