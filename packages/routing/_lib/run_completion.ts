import { createHash } from "node:crypto";
import { AdmissionRefusedError } from "@jaypass/admission";
import type { Grant } from "@jaypass/admission";
import { hashPrefixBlocks } from "@jaypass/engines";
import { RAN } from "@jaypass/idempotency";
import { MAX_ATTEMPTS } from "../constants.ts";
import type { AnswerEntry } from "../create_answer_store.ts";
import { RequestError } from "../errors.ts";
import { FAILURE } from "../types.ts";
import type { ModelRequest } from "../types.ts";
import { classifyAttemptError } from "./classify_attempt_error.ts";
import { runAttempt } from "./run_attempt.ts";
import type { RouterContext } from "./router_context.ts";

/**
 * Runs a model request until its answer is complete or has failed.
 *
 * A completion is idempotent, so a failed attempt is retried on another engine, after the tokens
 * already received, while the deadline, the retry budget and the number of attempts allow it.
 *
 * @param req the request
 * @param entry the answer; always ended when this function returns
 * @param context shared services of the router; its `signal` is aborted at the deadline or when the
 * caller has been disconnected for the grace time
 */
export async function runCompletion(
  req: ModelRequest,
  entry: AnswerEntry,
  context: RouterContext & { signal: AbortSignal },
): Promise<void> {
  const { signal } = context;
  const startMs = context.clock.nowMs();
  context.decisions.add(req.requestId, "accepted", {
    workspace: req.workspace,
    model: req.model,
    timeoutMs: Math.round(req.deadline.remainingMs()),
  });
  const admissionReq = describeForAdmission(req, context);
  const exclude: string[] = [];
  let wasDispatched = false;

  const failWith = (err: unknown, reason: string) => {
    const ran = wasDispatched ? RAN.RAN : RAN.NOT_RUN;
    context.decisions.add(req.requestId, "failed", { reason, ran });
    entry.fail(toRequestError(err, { reason, ran }));
  };

  for (let n = 0; n < MAX_ATTEMPTS; n++) {
    const attemptId = `${req.requestId}.${n}`;
    let grant: Grant;
    try {
      grant = await context.admission.acquire({
        ...admissionReq,
        requestId: attemptId,
        remainingMs: req.deadline.remainingMs(),
        firstTokenRemainingMs: Math.max(0, req.firstTokenMs - (context.clock.nowMs() - startMs)),
        exclude,
      }, signal);
    } catch (err) {
      return failWith(err, abortReason(req));
    }
    context.metrics.timing("queue_wait", context.clock.nowMs() - startMs, { lane: grant.lane });
    context.decisions.add(req.requestId, "granted", {
      attempt: n,
      pool: grant.pool,
      servers: grant.servers.map((server) => server.id).join(","),
      lane: grant.lane,
      waitedMs: Math.round(context.clock.nowMs() - startMs),
      why: grant.explanation,
    });
    try {
      await runAttempt({ req, entry, grant, attemptId, signal }, context);
      context.decisions.add(req.requestId, "done", { tokens: entry.answer.tokens.length });
      return entry.finish();
    } catch (err) {
      wasDispatched ||= !(err instanceof AdmissionRefusedError);
      if (signal.aborted) return failWith(err, abortReason(req));
      const { retry } = classifyAttemptError(err);
      context.decisions.add(req.requestId, "attempt failed", { attempt: n, retry });
      context.log.warn(
        { requestId: req.requestId, attempt: n, retry, err },
        "Attempt of model request failed",
      );
      if (n === MAX_ATTEMPTS - 1) break;
      if (!context.retryBudget.tryWithdraw(req.workspace)) {
        return failWith(err, FAILURE.RETRY_BUDGET);
      }
      context.metrics.increment("retry", { reason: retry });
      exclude.push(...grant.servers.map((server) => server.id));
    }
  }
  failWith(new Error(`No attempt out of ${MAX_ATTEMPTS} succeeded`), FAILURE.ENGINE_FAILED);
}

/** Uses the deadline's signal, because its timer may fire slightly before the clock reaches it. */
function abortReason(req: ModelRequest): string {
  return req.deadline.signal.aborted ? FAILURE.DEADLINE_PASSED : FAILURE.CALLER_GONE;
}

function describeForAdmission(req: ModelRequest, context: RouterContext) {
  const { bytesPerToken } = context.configuration.document().models[req.model]!;
  const fingerprint = createHash("sha256").update(req.model).update("\0").update(req.prompt);
  return {
    serves: req.model,
    workspace: req.workspace,
    fingerprint: fingerprint.digest("hex").slice(0, 32),
    promptTokens: Math.ceil(Buffer.byteLength(req.prompt) / bytesPerToken),
    maxTokens: req.maxTokens,
    prefixBlocks: hashPrefixBlocks(req.prompt, bytesPerToken),
  };
}

function toRequestError(err: unknown, options: { reason: string; ran: "ran" | "not_run" }) {
  if (err instanceof AdmissionRefusedError) {
    const { reason, retryAfterMs } = err;
    return new RequestError(err.message, { ran: options.ran, reason, retryAfterMs, cause: err });
  }
  const message = err instanceof Error ? err.message : String(err);
  return new RequestError(`Request failed: ${message}`, { ...options, cause: err });
}
