import { JOB_OUTCOME } from "@jaypass/placement";
import { FAILURE, ForwardingError } from "../errors.ts";
import type { Attempt, AttemptResult, RunningAttempt } from "./attempt.ts";
import { createConcurrentRuns } from "./create_concurrent_runs.ts";
import type { Run } from "./create_concurrent_runs.ts";
import { createRunTrace } from "./create_run_trace.ts";
import { createHedgeRecord } from "./create_hedge_record.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";
import { runAttempt } from "./run_attempt.ts";

/**
 * Sends a request to a server, and to another one as well while the first one is silent or slower than
 * usual, until one of them has answered or all have failed.
 *
 * Runs that another one has made superfluous are cancelled at once. Their ends are not waited for, since
 * a pending memory reservation would delay the end of the request.
 *
 * @param context services of the host
 * @param request the caller's request
 * @param first the first attempt
 * @returns the result of the run that answered, or of the one that failed last; undefined if none was
 * sent
 * @throws {ForwardingError} if the host itself must answer with a failure
 */
export function runConcurrently(
  context: ForwardingContext,
  request: CallerRequest,
  first: Attempt,
): Promise<AttemptResult | undefined> {
  const { clock, log, metrics, placement } = context;
  const { state, handler } = first;
  const hedges = createHedgeRecord(context, request);
  const runs = createConcurrentRuns({
    clock,
    onWon(winner, other) {
      if (hedges.settle(winner)) return;
      const result = winner === firstRun ? "first_won" : "second_won";
      metrics.increment("silent_server", { reason: "answer", result });
      log.info({
        requestId: request.id,
        server: winner.serverId,
        other: other.serverId,
        result,
        silentMs: Math.round(other.silentMs()),
      }, "One of two runs of a request has continued its answer");
    },
  });
  let firstRun: Run | undefined;
  let last: AttemptResult | undefined;

  return new Promise((resolve, reject) => {
    const finish = (end: () => void) => {
      request.signal.removeEventListener("abort", onAbort);
      hedges.settle(undefined);
      runs.dropAll();
      end();
    };
    const finishIfEnded = () => {
      if (runs.list().length === 0) finish(() => resolve(last));
    };

    const start = (attempt: Attempt): Run | undefined => {
      const run = runs.start(attempt.server.id);
      if (run === undefined) {
        placement.finished(attempt.job.id, JOB_OUTCOME.CANCELLED);
        return undefined;
      }
      const trace = createRunTrace({
        clock,
        arrivalMs: request.arrivalMs,
        server: attempt.server.id,
        expectedMs: attempt.decision.expectedMs,
      });
      state.traces.push(trace);
      const running = { ...attempt, run, runs, trace, onSuccessor };
      runAttempt(context, request, running).then(
        (result) => onEnd(running, result),
        (err) => {
          if (!run.isActive() && err instanceof ForwardingError) return;
          finish(() => reject(err));
        },
      );
      return run;
    };

    const onSuccessor: RunningAttempt["onSuccessor"] = ({ job, decision, hedge }) => {
      const server = context.findServer(decision.serverId);
      if (server === undefined) {
        hedge?.giveBack();
        return placement.finished(job.id, JOB_OUTCOME.CANCELLED);
      }
      const [first] = runs.list();
      if (hedge === undefined) metrics.increment("retry", { reason: FAILURE.SERVER_SILENT });
      const run = start({ job, decision, server, state, handler, hedge });
      if (hedge === undefined || first === undefined) return;
      if (run === undefined) hedge.giveBack();
      else hedges.start(run, first, hedge);
    };

    const onEnd = (attempt: RunningAttempt, result: AttemptResult | undefined) => {
      const { run, server, trace } = attempt;
      trace.recordEnd();
      const wasDropped = !run.isActive();
      if (result !== undefined) {
        logEnd(context, request, attempt, result);
        if (result.isDone) {
          hedges.settle(run);
          return finish(() => resolve(result));
        }
        if (!wasDropped || run.isSilent()) state.excludedIds.push(server.id);
      }
      hedges.recordFailure(run);
      if (wasDropped) return;
      last = result ?? last;
      // Another server may be searched now, for which the list must be complete.
      run.end();
      finishIfEnded();
    };

    // A memory reservation must not delay the end of the request.
    const onAbort = () => {
      runs.dropUnsent();
      finishIfEnded();
    };
    request.signal.addEventListener("abort", onAbort, { once: true });
    firstRun = start(first);
  });
}

function logEnd(
  context: ForwardingContext,
  request: CallerRequest,
  { server, decision, state }: Attempt,
  result: AttemptResult,
): void {
  context.log.info({
    requestId: request.id,
    server: server.id,
    configuration: context.configuration()?.version,
    send: state.sendCount,
    helpers: decision.helperIds.length,
    tickets: decision.tickets.length,
    expectedMs: Math.round(decision.expectedMs),
    elapsedMs: Math.round(context.clock.nowMs() - request.arrivalMs),
    outcome: result.outcome,
    failure: result.isDone ? undefined : result.failure,
    promptTokens: request.metadata.promptTokens || undefined,
    ...!result.isDone && describeContent(request),
    ...result.timing,
  }, "Attempt ended");
}

/** Describes by which content requests with failed attempts can be compared. */
function describeContent({ fingerprint, metadata }: CallerRequest) {
  return { fingerprint, parts: metadata.promptParts.join(" ") || undefined };
}
