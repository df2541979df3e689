import { GRANT_OUTCOME } from "@jaypass/admission";
import type { Grant, GrantResult } from "@jaypass/admission";
import type { EngineClient, EngineEvent, EngineRequest } from "@jaypass/engines";
import type { AnswerEntry } from "../create_answer_store.ts";
import { ENGINE_CALL_TIMEOUT_MS, ENGINE_IDLE_TIMEOUT_MS } from "../constants.ts";
import type { ModelRequest } from "../types.ts";
import { classifyAttemptError } from "./classify_attempt_error.ts";
import { prefillParts } from "./prefill_parts.ts";
import type { RouterContext } from "./router_context.ts";

/** A granted attempt of a model request. */
export interface Attempt {
  req: ModelRequest;
  entry: AnswerEntry;
  grant: Grant;
  /** Id of the attempt at the engine. */
  attemptId: string;
  signal: AbortSignal;
}

/**
 * Sends a granted attempt to its engine and appends the tokens to the answer.
 *
 * If the connection breaks while the engine may still run the request, the stream is resumed once
 * after the last received token. The grant is released in every case, and a failed attempt that was
 * dispatched is cancelled on its engines to free their memory.
 *
 * @param attempt request, answer and grant
 * @param context shared services of the router
 * @throws the engine client's error if the attempt failed
 */
export async function runAttempt(attempt: Attempt, context: RouterContext): Promise<void> {
  const { grant } = attempt;
  const startMs = context.clock.nowMs();
  const engine = context.engineFor(grant.servers[0]!.url);
  const result: GrantResult = { outcome: GRANT_OUTCOME.NOT_DISPATCHED };
  try {
    context.admission.checkDispatch(grant);
    result.outcome = GRANT_OUTCOME.CANCELLED;
    if (grant.servers.length > 1) await prefillParts(attempt, context);
    await streamWithResume(attempt, engine, () => {
      if (result.firstTokenMs !== undefined) return;
      result.firstTokenMs = context.clock.nowMs() - startMs;
      context.metrics.timing("engine.first_token", result.firstTokenMs, { lane: grant.lane });
    });
    result.outcome = GRANT_OUTCOME.DONE;
  } catch (err) {
    const isDispatched = result.outcome !== GRANT_OUTCOME.NOT_DISPATCHED;
    if (isDispatched && !attempt.signal.aborted) {
      result.outcome = classifyAttemptError(err).outcome;
    }
    if (isDispatched) await cancelOnEngines(attempt, context);
    throw err;
  } finally {
    result.totalMs = context.clock.nowMs() - startMs;
    result.outputTokens = attempt.entry.answer.tokens.length;
    context.admission.release(grant, result);
  }
}

async function streamWithResume(attempt: Attempt, engine: EngineClient, onToken: () => void) {
  const { req, entry, signal } = attempt;
  const options = () => ({
    timeoutMs: req.deadline.remainingMs(),
    idleTimeoutMs: ENGINE_IDLE_TIMEOUT_MS,
    signal,
  });
  try {
    await copyTokens(engine.complete(createEngineRequest(attempt), options()), entry, onToken);
  } catch (err) {
    if (signal.aborted || !classifyAttemptError(err).isResumable) throw err;
    const from = entry.answer.tokens.length;
    await copyTokens(engine.resume(attempt.attemptId, from, options()), entry, onToken);
  }
}

async function copyTokens(
  events: AsyncIterable<EngineEvent>,
  entry: AnswerEntry,
  onToken: () => void,
) {
  for await (const event of events) {
    if (event.type === "end") {
      entry.answer.cachedTokens = event.cachedTokens;
    } else {
      onToken();
      entry.push(event.text);
    }
  }
}

function createEngineRequest({ req, entry, grant, attemptId }: Attempt): EngineRequest {
  return {
    requestId: attemptId,
    model: req.model,
    prompt: req.prompt,
    generated: [...entry.answer.tokens],
    maxTokens: req.maxTokens,
    priority: grant.priority,
    fencing: grant.fencing,
    expectedRestartCount: grant.servers[0]!.restartCount,
  };
}

/** Cancels the attempt on its engines; reconciliation later finds attempts whose cancel failed. */
async function cancelOnEngines({ grant, attemptId }: Attempt, context: RouterContext) {
  const cancels = grant.servers.map((server) =>
    context.engineFor(server.url).cancel(attemptId, { timeoutMs: ENGINE_CALL_TIMEOUT_MS })
  );
  const results = await Promise.allSettled(cancels);
  for (const result of results) {
    if (result.status === "rejected") {
      context.log.warn(
        { attemptId, err: result.reason },
        "Failed to cancel attempt on engine; leaving it to reconciliation",
      );
      context.metrics.increment("engine.cancel_failed");
    }
  }
}
