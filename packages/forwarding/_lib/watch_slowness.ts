import type { Millis } from "@jaypass/kernel";
import { shouldHedge } from "../should_hedge.ts";
import type { RunningAttempt } from "./attempt.ts";
import { hasAttemptLeft } from "./describe_job.ts";
import { isRepeatable } from "./is_repeatable.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/** Watch on the time to the first byte of one run. */
export interface SlownessWatch {
  /** Records a part of the answer. */
  recordData(): void;
  /** Reports whether the request may be hedged now. */
  isHedgeDue(): boolean;
  /** Ends the watch, since the run has ended. */
  stop(): void;
}

const NO_WATCH: SlownessWatch = {
  recordData: () => {},
  isHedgeDue: () => false,
  stop: () => {},
};

/**
 * Watches a run that is sent to its server now, and learns from it what is usual.
 *
 * @param context services of the host
 * @param request the caller's request
 * @param attempt the attempt
 * @param onSlow called once when the run takes longer than usual
 * @returns the watch
 */
export function watchSlowness(
  context: ForwardingContext,
  request: CallerRequest,
  { job, decision, state, handler, runs }: RunningAttempt,
  onSlow: () => void,
): SlownessWatch {
  const { clock, hedging } = context;
  if (hedging === undefined) return NO_WATCH;
  const { route, service, metadata } = request;
  const kind = { route: route.name, promptTokens: metadata.promptTokens };
  const startMs = clock.nowMs();
  const elapsedMs = () => clock.nowMs() - startMs;
  const isContinued = handler.resumeAfter() !== undefined;
  const usualMs = hedging.findUsualMs(kind);
  let timer: NodeJS.Timeout | undefined;
  // A timer can fire before its time, as it counts from the start of the turn of the event loop.
  const checkAfter = (waitMs: Millis) => {
    timer = setTimeout(() => {
      const leftMs = (usualMs ?? 0) - elapsedMs();
      if (leftMs > 0) checkAfter(leftMs);
      else onSlow();
    }, Math.ceil(waitMs));
  };
  if (usualMs !== undefined && !isContinued && isRepeatable(request)) checkAfter(usualMs);
  let hasData = false;
  return {
    recordData() {
      if (hasData) return;
      hasData = true;
      clearTimeout(timer);
      if (!isContinued) hedging.recordFirstByte(kind, elapsedMs());
      if (!job.isRetry) hedging.countRequest(service);
    },
    isHedgeDue: () =>
      shouldHedge({
        isRepeatable: isRepeatable(request),
        hasAttemptLeft: hasAttemptLeft(request, state),
        runCount: runs.list().length,
        hasBegun: hasData || handler.resumeAfter() !== undefined || !handler.canContinue(),
        isCallerSlow: isCallerSlow(request),
        isStopping: context.stop.signal.aborted,
        elapsedMs: elapsedMs(),
        usualMs,
        remainingMs: Math.min(request.endMs, request.arrivalMs + route.patienceMs) - clock.nowMs(),
      }),
    stop() {
      clearTimeout(timer);
      if (!hasData && !isContinued) hedging.recordUnanswered(kind, elapsedMs());
      hedging.countWork(service, elapsedMs() + decision.helperIds.length * decision.partMs);
    },
  };
}

/** Reports whether earlier answers on the connection are not sent yet because the caller reads slowly. */
function isCallerSlow({ res }: CallerRequest): boolean {
  return res.socket === null || res.socket.writableLength > 0;
}
