import { createHash } from "node:crypto";
import { AdmissionRefusedError, GRANT_OUTCOME } from "@jaypass/admission";
import type { AcquireRequest, Grant, GrantOutcome } from "@jaypass/admission";
import { EngineError } from "@jaypass/engines";
import { CallError, RAN } from "@jaypass/idempotency";
import type { CallResult, PreparedCall, Ran } from "@jaypass/idempotency";
import { MAX_ATTEMPTS } from "../constants.ts";
import { RequestError } from "../errors.ts";
import { FAILURE } from "../types.ts";
import type { PlainRequest } from "../types.ts";
import { classifyAttemptError } from "./classify_attempt_error.ts";
import { resolveUnknownCall } from "./resolve_unknown_call.ts";
import type { RouterContext } from "./router_context.ts";

/**
 * Calls an operation of a plain service.
 *
 * An idempotent operation is retried within the retry budgets. Any other operation goes through the
 * call ledger and is sent at most once.
 *
 * @param req the call
 * @param context shared services of the router
 * @returns the service's answer; `replayed` is true for the stored result of an earlier call
 * @throws {RequestError} with `ran` set
 */
export async function callPlainService(
  req: PlainRequest,
  context: RouterContext,
): Promise<CallResult & { replayed: boolean }> {
  const service = context.configuration.document().services[req.service];
  const operation = service?.operations[req.operation];
  if (service === undefined || operation === undefined) {
    throw new RequestError(`Service "${req.service}" has no operation "${req.operation}"`, {
      reason: FAILURE.UNKNOWN_SERVICE,
      ran: RAN.NOT_RUN,
    });
  }
  try {
    if (operation.idempotent) return { ...await callIdempotent(req, context), replayed: false };
    return await callThroughLedger(req, context, service.resolution);
  } catch (err) {
    throw toRequestError(err, req);
  }
}

async function callIdempotent(req: PlainRequest, context: RouterContext): Promise<CallResult> {
  const exclude: string[] = [];
  let lastErr: unknown;
  let mayHaveRun = false;
  for (let n = 0; n < MAX_ATTEMPTS; n++) {
    let prepared: Awaited<ReturnType<typeof prepareCall>>;
    try {
      prepared = await prepareCall({ req, context, exclude, attempt: n });
    } catch (err) {
      throw toRequestError(err, req, { mayHaveRun });
    }
    try {
      return await prepared.send(0, req.deadline.signal);
    } catch (err) {
      lastErr = err;
      mayHaveRun ||= !(err instanceof EngineError && err.ran === RAN.NOT_RUN);
      if (req.deadline.isExpired() || !context.retryBudget.tryWithdraw(req.workspace)) break;
      context.metrics.increment("retry", { reason: classifyAttemptError(err).retry });
      exclude.push(prepared.server);
    }
  }
  throw toRequestError(lastErr, req, { mayHaveRun });
}

function callThroughLedger(
  req: PlainRequest,
  context: RouterContext,
  resolution: "none" | "lookup" | "fence",
) {
  const { key } = req;
  if (key === undefined) {
    throw new RequestError(
      `Operation "${req.operation}" is not idempotent and needs an idempotency key`,
      { reason: FAILURE.IDEMPOTENCY_KEY_MISSING, ran: RAN.NOT_RUN },
    );
  }
  let attempt = 0;
  return context.ledger.run({
    workspace: req.workspace,
    service: req.service,
    operation: req.operation,
    key,
    bodyHash: hashCall(req),
    requestId: req.requestId,
    remainingMs: req.deadline.remainingMs(),
    resolution,
    prepare: () => prepareCall({ req, context, exclude: [], attempt: attempt++, atMostOnce: true }),
    resolve: (fencing, signal) =>
      resolveUnknownCall({
        service: req.service,
        // The key under which the service has stored the call.
        key: scopeKey(req.workspace, key),
        resolution,
        fencing,
        signal,
      }, context),
  }, req.deadline.signal);
}

interface PrepareOptions {
  req: PlainRequest;
  context: RouterContext;
  exclude: string[];
  attempt: number;
  /**
   * True for a call that may run at most once. It carries a fencing number and uses a new
   * connection, because an idle connection may already be broken or closing, and the outcome of
   * the call would then be unknown.
   */
  atMostOnce?: boolean;
}

async function prepareCall(
  options: PrepareOptions,
): Promise<PreparedCall & { server: string }> {
  const { req, context, atMostOnce } = options;
  const grant = await context.admission.acquire(describeForAdmission(options), req.deadline.signal);
  const server = grant.servers[0]!;
  context.decisions.add(req.requestId, "granted", { server: server.id, pool: grant.pool });
  return {
    server: server.id,
    abandon: () => context.admission.release(grant, { outcome: GRANT_OUTCOME.NOT_DISPATCHED }),
    send: async (fencing, signal) => {
      const startMs = context.clock.nowMs();
      try {
        const res = await context.serviceFor(server.url).call({
          requestId: req.requestId,
          operation: req.operation,
          body: req.body,
          contentType: req.contentType,
          key: req.key === undefined ? undefined : scopeKey(req.workspace, req.key),
          fencing: atMostOnce ? fencing : undefined,
          expectedRestartCount: server.restartCount,
        }, {
          timeoutMs: req.deadline.remainingMs(),
          signal,
          freshConnection: atMostOnce,
          beforeSend: () => context.admission.checkDispatch(grant),
        });
        release(grant, GRANT_OUTCOME.DONE, context, startMs);
        return { status: res.status, contentType: res.contentType, body: res.body };
      } catch (err) {
        release(grant, classifyAttemptError(err).outcome, context, startMs);
        throw err;
      }
    },
  };
}

function release(
  grant: Grant,
  outcome: GrantOutcome,
  context: RouterContext,
  startMs: number,
) {
  context.admission.release(grant, { outcome, totalMs: context.clock.nowMs() - startMs });
}

/** Prefixes a key with its workspace, so that keys of different workspaces do not collide. */
export function scopeKey(workspace: string, key: string): string {
  return `${workspace}/${key}`;
}

function hashCall(req: PlainRequest): string {
  return createHash("sha256").update(req.operation).update("\0").update(req.body).digest("hex");
}

function describeForAdmission({ req, exclude, attempt }: PrepareOptions): AcquireRequest {
  return {
    requestId: `${req.requestId}.${attempt}`,
    serves: req.service,
    workspace: req.workspace,
    fingerprint: hashCall(req).slice(0, 32),
    promptTokens: 0,
    maxTokens: 0,
    prefixBlocks: [],
    remainingMs: req.deadline.remainingMs(),
    firstTokenRemainingMs: req.deadline.remainingMs(),
    exclude,
  };
}

/**
 * Converts an error of the last attempt; `mayHaveRun` states that an attempt of the call may have
 * run, which a refusal of a later attempt does not change.
 */
function toRequestError(err: unknown, req: PlainRequest, { mayHaveRun = false } = {}): unknown {
  if (err instanceof RequestError) return err;
  const message = err instanceof Error ? err.message : String(err);
  const createError = (reason: string, ran: Ran, retryAfterMs?: number) =>
    new RequestError(message, {
      reason,
      ran: mayHaveRun && ran === RAN.NOT_RUN ? RAN.UNKNOWN : ran,
      retryAfterMs,
      cause: err,
    });
  if (err instanceof CallError) return createError(err.reason, err.ran, err.retryAfterMs);
  if (err instanceof AdmissionRefusedError) {
    return createError(err.reason, RAN.NOT_RUN, err.retryAfterMs);
  }
  if (req.deadline.isExpired()) return createError(FAILURE.DEADLINE_PASSED, RAN.UNKNOWN);
  return createError(FAILURE.SERVICE_FAILED, err instanceof EngineError ? err.ran : RAN.UNKNOWN);
}
